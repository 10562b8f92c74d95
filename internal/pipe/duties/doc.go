// Package duties does what one entry at a time does for all: it reports usage and orders servers.
//
// The holder of the duty acts while its lease lasts, and each call carries the
// fencing number of its holding. What is reported of a window is fixed in the
// store before it is sent, so that each repeat of the report is exact, also by
// the next holder.
package duties
