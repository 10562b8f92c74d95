package retry

import (
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
)

// RepeatPolicyOf returns the policy for sending a request to a service again.
//
// Completions are idempotent. A request to a service that deduplicates by key may
// not be repeated if it has no idempotency key, and neither may a request to a
// service without a policy.
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

// MayHedge reports whether a request may be sent to a second server while an earlier try is in progress.
func MayHedge(repeat config.RepeatPolicy) bool {
	return repeat == config.RepeatIdempotent
}

// MoreSevere returns the failure that makes it more likely that the request has run, or b
// if both make it equally likely. Either may be nil.
//
// A request fails with its most severe failure: if any of its tries may have run,
// the request may have run.
func MoreSevere(a, b *call.Failure) *call.Failure {
	severity := func(failure *call.Failure) int {
		switch {
		case failure == nil:
			return 0
		case failure.Ran == call.RanNo:
			return 1
		case failure.Ran == call.RanYes:
			return 3
		default:
			return 2
		}
	}
	if severity(b) >= severity(a) {
		return b
	}
	return a
}
