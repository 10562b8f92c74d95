// Package duty runs the work of a duty at one entry at a time.
//
// A [Keeper] asks for the duty's lease when package decide/duty says that it is
// this entry's turn, runs the work while the lease is held, and renews it. The
// context of the work ends before the service can let the lease lapse, by this
// entry's own clock. The work gets a [Holding], which it asks before each action
// with an effect outside, and whose fencing number goes with that action.
//
// While the key-value service is out, a holder works on until its time is up,
// and then nobody holds the duty until the service is back.
package duty
