// Package backend chooses the backend server for a request.
//
// A [Fleet] is the immutable snapshot of all backend servers, with the
// candidates of each service worked out in advance, so that a choice looks at a
// few candidates and never scans the fleet. What an entry observes of a server
// changes with each request and lives in a cell per server ([Observation]),
// which a new snapshot takes over from the old one.
package backend
