// Package backend chooses the backend server for a request.
//
// A [Fleet] is the immutable snapshot of all backend servers, with the [Pool]
// of each service worked out in advance, so that a choice looks at a few
// candidates and never scans the fleet. What an entry observes of a server
// changes with each request and lives in a cell per server ([Observation]),
// which a new snapshot takes over from the old one. What it knows of the
// servers of a service together lives in a cell per service ([Health]): the
// usual times per unit of work ([Reference]), to which each server is compared,
// and the servers that are ejected and get probes only. The index of cached
// prompt prefixes is [Affinity]. Which servers are leaving is [Leaving].
package backend
