package forward

import (
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// staleRetryAfter is when a call may come again that met an entry with an old configuration.
const staleRetryAfter = 500 * time.Millisecond

// Freshness tells the time since the configuration was known to be the newest.
type Freshness interface {
	Age() time.Duration
}

// Revocation refuses calls whose access key may have been taken away meanwhile.
type Revocation struct {
	freshness Freshness
	limit     func() time.Duration
}

// NewRevocation returns a check that the configuration is not older than limit.
func NewRevocation(freshness Freshness, limit func() time.Duration) Revocation {
	return Revocation{freshness: freshness, limit: limit}
}

// Check returns a refusal when the configuration is too old for a call with an access key.
func (revocation Revocation) Check(exchange request.Exchange) *call.Refusal {
	if exchange.Client.Name == "" {
		return nil
	}
	age := revocation.freshness.Age()
	if age <= revocation.limit() {
		return nil
	}
	return call.Refuse(call.ReasonStoreOut, "the configuration was last known to be the newest %s ago", age).WithRetryAfter(staleRetryAfter)
}
