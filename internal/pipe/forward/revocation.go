package forward

import (
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// staleRetryAfter is the time after which the caller may retry if the configuration of
// this entry was too old.
const staleRetryAfter = 500 * time.Millisecond

// Revocation refuses calls whose access key has been revoked since they were matched, or may have been since the last
// confirmation that this entry's configuration is the latest.
type Revocation struct {
	views request.ViewSource
	limit func() time.Duration
}

// NewRevocation returns a check of access keys against the current view, whose configuration may have an age of at most limit, which is
// called for each check.
func NewRevocation(views request.ViewSource, limit func() time.Duration) Revocation {
	return Revocation{views: views, limit: limit}
}

// Check returns a refusal if the access key of a call is not that of its client account in the current configuration, with
// [call.ReasonUnauthenticated], or if this cannot be told, with [call.ReasonStoreUnavailable]. Otherwise it returns nil.
//
// The key is looked up in the configuration whose age is checked, not in that of the exchange: an entry that was suspended may
// have received a newer one since, and the age of that one says nothing about a key which it no longer has.
func (revocation Revocation) Check(exchange request.Exchange) *call.Refusal {
	view := revocation.views.View()
	if exchange.Route.Public || !view.Routes.RequiresKey() {
		return nil
	}
	account, refusal := authenticate(view, exchange.Request.Opaque.Key)
	switch {
	case refusal != nil:
		return refusal
	case account.Name != exchange.ClientAccount.Name:
		return call.Refuse(call.ReasonStoreUnavailable, "the access key belongs to another client account than when the call arrived").WithRetryAfter(startRetryAfter)
	case view.Age > revocation.limit():
		return call.Refuse(call.ReasonStoreUnavailable, "the configuration was last confirmed to be the latest %s ago, which is too old to verify the access key", view.Age).WithRetryAfter(staleRetryAfter)
	}
	return nil
}
