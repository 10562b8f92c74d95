// Package suspect finds requests that crash backend servers.
//
// A request that is in flight at a server when it crashes becomes a suspect,
// under a [Fingerprint] that a caller's resend shares. Suspects run apart from
// each other ([Isolation]), so that finishing clears a suspect and a second
// crash points at one. The [Register] of suspects is immutable and merges with
// those of other entries in any order.
//
// Times come from several entries' clocks. A clock that is ahead by s can only
// clear or keep a suspect that is younger than s wrongly.
package suspect
