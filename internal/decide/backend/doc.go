// Package backend chooses the backend server for a request.
//
// A [Fleet] is an immutable snapshot of all backend servers. It holds a [Pool] for each
// service, computed in advance, so that a choice compares a few candidates and never
// scans the fleet.
//
// State that changes with each request is kept outside the snapshot, in RCU cells that
// a new snapshot takes over from the old one. There is one [Observation] for each
// server: the entry's requests in flight, the latest load report and the estimated slowdown.
// There is one [Health] for each service: the usual times per unit of work ([Baseline]),
// with which each server is compared, and the ejected servers, which get only probes.
//
// [Affinity] is the index of cached prompt prefixes, [Departures] holds which servers
// are leaving, and entries exchange [SlowdownReports] about servers they found slow.
package backend
