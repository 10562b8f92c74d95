// Package attempt decides the next step after a try of an opaque call has failed.
//
// A try sends a call to one server. It counts as one of the attempts of the call's route
// unless the call certainly did not run. A call that a server may have run is sent again
// only if it is repeatable and its route allows more attempts. A call that certainly did
// not run may be sent to another server in any case. A call that cannot be sent again
// ends immediately: with a refusal, which guarantees that it did not run, or otherwise
// with a failure.
package attempt
