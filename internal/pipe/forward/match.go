package forward

import (
	"context"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// StepMatch names the search for the route in decisions.
const StepMatch = "match"

const (
	// startRetryAfter is when a call may come again that met an entry without a configuration.
	startRetryAfter = 300 * time.Millisecond
	// staleAge is the age of the configuration beyond which a missing route or key
	// may be due to a newer configuration.
	staleAge = 1500 * time.Millisecond
	// defaultTimeout bounds calls on routes that state no timeout.
	defaultTimeout = time.Minute
)

// Match loads the snapshots, finds the route and the client account of a call, and sets its deadline.
func Match(views request.Views) request.Filter {
	return func(next request.Handler) request.Handler {
		return request.HandlerFunc(func(ctx context.Context, exchange request.Exchange) (request.Exchange, error) {
			view := views.View()
			exchange = exchange.WithView(view)
			incoming := exchange.Request
			if !view.Routes.Loaded() {
				return exchange, call.Refuse(call.ReasonStarting, "no configuration is known yet").WithRetryAfter(startRetryAfter)
			}
			found, ok := view.Routes.Match(incoming.Opaque.Host, incoming.Opaque.Path)
			if !ok {
				return exchange, unknown(view, call.Refuse(call.ReasonUnknownRoute, "no route for %s%s", incoming.Opaque.Host, incoming.Opaque.Path))
			}
			exchange = exchange.WithRoute(found)
			if !found.Public && view.Routes.Keyed() {
				client, ok := view.Routes.Account(incoming.Opaque.Key)
				if !ok {
					return exchange, unknown(view, call.Refuse(call.ReasonUnauthenticated, "no client account has this access key"))
				}
				exchange = exchange.WithClient(client)
				incoming = incoming.WithAccount(client.Name)
			}
			timeout := found.Timeout
			if timeout <= 0 {
				timeout = defaultTimeout
			}
			if incoming.Opaque.Patience > 0 {
				timeout = min(timeout, incoming.Opaque.Patience)
			}
			incoming = incoming.WithDeadline(incoming.Arrived.Add(timeout))
			ctx, cancel := context.WithDeadline(ctx, incoming.Deadline)
			defer cancel()
			return next.Handle(ctx, exchange.WithRequest(incoming))
		})
	}
}

// unknown returns the refusal for what the configuration does not have, which is
// no verdict while a newer configuration may have it.
func unknown(view request.View, refusal *call.Refusal) *call.Refusal {
	if view.Age <= staleAge {
		return refusal
	}
	return call.Refuse(call.ReasonStoreOut, "not in the configuration of %s ago: %s", view.Age, refusal.Detail).WithRetryAfter(startRetryAfter)
}
