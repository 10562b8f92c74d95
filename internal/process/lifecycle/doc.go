// Package lifecycle is the lifecycle of an entry process, as a state machine.
//
// An entry starts and becomes ready. When it is asked to stop, it first becomes unready
// but still accepts requests, so that the balancer can detect the change. Then it refuses
// new requests while it finishes the accepted ones, and stops. Health checks read the
// state without a lock.
package lifecycle
