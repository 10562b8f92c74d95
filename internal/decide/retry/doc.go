// Package retry decides when work is sent to a backend server again.
//
// A [State] holds what one entry has learned of one service: the [Budget] that
// retries and hedges share, and the usual times ([Pace]) from which the hedge
// delay and the limits on stalled streams follow. [State.WithFailure] turns a
// failed [Attempt] into a [Plan].
//
// Work that may not be repeated is sent again only after a failure that is
// certain not to have run. A spent budget delays a retry and does not end the
// request, because later successes pay for it; the deadline ends it. Work that
// a server leaves behind which was known to be leaving is not charged.
//
// A stream whose server turns out slowed goes on at another one, where that
// costs less than staying ([Pace.MoveAfter]). Such moves share the budget and
// have a bound of their own on the tokens computed again ([Rework]).
package retry
