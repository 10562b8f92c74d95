// Package retry decides when a request is sent to a backend server again.
//
// A [State] holds what one entry has measured about one service: the [Budget] that
// retries and hedges share, and the usual latencies ([LatencyStats]) from which the
// hedge delay and the stall timeouts are derived. A try is one attempt to get the answer
// from one server; a hedge is a second try that starts while the first is in progress.
// [State.WithFailure] maps a [FailedAttempt] to a [Plan].
//
// A request that is not safe to repeat is sent again only if the failure shows that
// it did not run. An exhausted budget delays a retry instead of failing the
// request, because later successes refill the budget, as does time; the request fails at its
// deadline. Retries of requests that were running at a server known to be leaving
// are not charged to the budget.
//
// A stream whose server has slowed down continues at another server if that costs
// less than staying ([LatencyStats.RelocationDelay]). Such moves are charged to the
// same budget, and a separate [RecomputeBudget] limits the tokens that are computed again.
// A completion at a server that is leaving may instead be moved with its KV cache, so that
// its tokens need not be computed again; [MoveDue] reports when.
package retry
