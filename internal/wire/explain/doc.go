// Package explain is the interface by which a running entry of the command node says where a call would go now, and why.
//
// The entry answers POST [Path] at its addresses for health checks and metrics. It sends nothing to a server and counts no call.
package explain
