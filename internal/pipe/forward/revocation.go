package forward

import (
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// staleRetryAfter is the time after which the caller may retry if the configuration of
// this entry was too old.
const staleRetryAfter = 500 * time.Millisecond

// Freshness provides the age of the configuration.
type Freshness interface {
	// RoutesAge returns the time since the configuration was last confirmed to be the latest.
	RoutesAge() time.Duration
}

// Revocation refuses calls whose access key may have been revoked since the last
// confirmation that this entry's configuration is the latest.
type Revocation struct {
	freshness Freshness
	limit     func() time.Duration
}

// NewRevocation returns a check that the age of the configuration is at most limit, which is
// called for each check.
func NewRevocation(freshness Freshness, limit func() time.Duration) Revocation {
	return Revocation{freshness: freshness, limit: limit}
}

// Check returns a refusal with [call.ReasonStoreUnavailable] when the configuration is too old for
// a call with an access key, and nil otherwise.
func (revocation Revocation) Check(exchange request.Exchange) *call.Refusal {
	if exchange.ClientAccount.Name == "" {
		return nil
	}
	age := revocation.freshness.RoutesAge()
	if age <= revocation.limit() {
		return nil
	}
	return call.Refuse(call.ReasonStoreUnavailable, "the configuration was last confirmed to be the latest %s ago, which is too old to verify the access key", age).WithRetryAfter(staleRetryAfter)
}
