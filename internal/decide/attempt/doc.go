// Package attempt decides what follows when a try to have an opaque call answered has ended.
//
// A call that a server may have run is sent again only if it is repeatable and
// its route allows another server. A call that surely did not run may go to
// another server in any case. What cannot be sent again ends at once: in a
// refusal, which promises that the call did not run, or else in a failure.
package attempt
