package retry

import (
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
)

// RepeatPolicyOf returns the rule for sending a request's work again.
//
// Completions are idempotent. Without an idempotency key, work that is
// repeatable by key may not be repeated, and neither may work without a rule.
func RepeatPolicyOf(service config.Service, request call.Request) config.RepeatPolicy {
	switch {
	case service.Protocol == config.ProtocolEngine:
		return config.RepeatIdempotent
	case service.Repeat == config.RepeatIdempotent:
		return config.RepeatIdempotent
	case service.Repeat == config.RepeatByKey && request.IdempotencyKey != "":
		return config.RepeatByKey
	default:
		return config.RepeatNever
	}
}

// MayHedge reports whether work may be sent while an earlier try is in progress.
func MayHedge(repeat config.RepeatPolicy) bool {
	return repeat == config.RepeatIdempotent
}

// MoreSevere returns the failure that says more about work having run.
//
// A request fails as its worst try did: one try that may have run makes the
// whole request one that may have run.
func MoreSevere(one, other *call.Failure) *call.Failure {
	rank := func(failure *call.Failure) int {
		switch {
		case failure == nil:
			return 0
		case failure.Ran == call.RanNot:
			return 1
		case failure.Ran == call.RanYes:
			return 3
		default:
			return 2
		}
	}
	if rank(other) >= rank(one) {
		return other
	}
	return one
}
