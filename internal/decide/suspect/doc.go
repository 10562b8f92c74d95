// Package suspect finds requests that crash backend servers.
//
// A request that is in flight at a server when the server crashes becomes a
// suspect. It is identified by its [Fingerprint], which is the same when the caller
// resends it. A server runs one suspect at a time ([Isolation]). A suspect that
// finishes is therefore cleared, and a second crash identifies the request that caused
// it, which is then quarantined. The [Tracker] of suspects is immutable and merges
// with those of other entries in any order.
//
// Times come from the clocks of several entries. A clock that is ahead by a time d can
// wrongly clear or keep only suspects whose last crash is less than d ago.
package suspect
