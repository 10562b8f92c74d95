package forward

import (
	"context"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/route"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// StepMatch is the step of [Match] in decisions.
const StepMatch = "match"

const (
	// startRetryAfter is the time after which the caller may retry when this entry has no
	// configuration, or one that may be out of date.
	startRetryAfter = 300 * time.Millisecond
	// staleAge is the age of the configuration above which a newer one may contain a route
	// or key that it lacks.
	staleAge = 1500 * time.Millisecond
	// defaultTimeout bounds calls on routes without a configured timeout.
	defaultTimeout = time.Minute
)

// Match loads the snapshots, finds the route and the client account of a call, and sets
// its deadline.
//
// It refuses calls with [call.ReasonStarting] before the first configuration,
// [call.ReasonUnknownRoute] or [call.ReasonUnauthenticated] without a matching route or
// access key, and [call.ReasonStoreUnavailable] instead of these two when the configuration may be
// out of date.
func Match(views request.ViewSource) request.Filter {
	return func(next request.Handler) request.Handler {
		return request.HandlerFunc(func(ctx context.Context, exchange request.Exchange) (request.Exchange, error) {
			exchange, refusal := match(exchange.WithView(views.View()))
			if refusal != nil {
				return exchange, refusal
			}
			ctx, cancel := context.WithDeadline(ctx, exchange.Request.Deadline)
			defer cancel()
			return next.Handle(ctx, exchange)
		})
	}
}

// match returns the exchange with the route, the client account and the deadline of its call, or a refusal.
func match(exchange request.Exchange) (request.Exchange, *call.Refusal) {
	view, incoming := exchange.View, exchange.Request
	if !view.Routes.Loaded() {
		return exchange, call.Refuse(call.ReasonStarting, "this entry has not received a configuration yet").WithRetryAfter(startRetryAfter)
	}
	matched, ok := view.Routes.Match(incoming.Opaque.Host, incoming.Opaque.Path)
	if !ok {
		return exchange, refusalOfUnknown(view, call.Refuse(call.ReasonUnknownRoute, "no route for %s%s", incoming.Opaque.Host, incoming.Opaque.Path))
	}
	exchange = exchange.WithRoute(matched)
	if !matched.Public && view.Routes.RequiresKey() {
		account, refusal := authenticate(view, incoming.Opaque.Key)
		if refusal != nil {
			return exchange, refusal
		}
		exchange = exchange.WithClientAccount(account)
		incoming = incoming.WithAccount(account.Name)
	}
	timeout := matched.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if incoming.Opaque.TimeLimit > 0 {
		timeout = min(timeout, incoming.Opaque.TimeLimit)
	}
	return exchange.WithRequest(incoming.WithDeadline(incoming.Arrived.Add(timeout))), nil
}

// authenticate returns the client account with an access key, or the refusal of a call with that key.
func authenticate(view request.View, key string) (route.Account, *call.Refusal) {
	account, ok := view.Routes.Account(key)
	if !ok {
		return route.Account{}, refusalOfUnknown(view, call.Refuse(call.ReasonUnauthenticated, "no client account has this access key"))
	}
	return account, nil
}

// refusalOfUnknown returns the refusal for a route or key that the configuration lacks. While a
// newer configuration may contain it, the refusal is [call.ReasonStoreUnavailable], so that the
// caller retries.
func refusalOfUnknown(view request.View, refusal *call.Refusal) *call.Refusal {
	if view.Age <= staleAge {
		return refusal
	}
	const detail = "the configuration was last confirmed to be the latest %s ago and may be out of date: %s"
	return call.Refuse(call.ReasonStoreUnavailable, detail, view.Age, refusal.Detail).WithRetryAfter(startRetryAfter)
}
