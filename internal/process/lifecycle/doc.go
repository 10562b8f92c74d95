// Package lifecycle is the life of an entry process, as a state machine.
//
// An entry starts, is ready, and when it is told to stop becomes unready while it
// still takes requests (so that the balancer can notice), then refuses new ones
// while it finishes those it accepted, and ends. Health checks read the state
// without a lock.
package lifecycle
