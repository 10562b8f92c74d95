package request

import (
	"context"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// defaultTimeout bounds requests to services without a configured timeout.
const defaultTimeout = 2 * time.Minute

// ViewSource returns the current snapshots.
type ViewSource interface {
	View() View
}

// Identify loads the snapshots, looks up the client account and the service of a
// request, and sets its deadline.
//
// It refuses requests without a known access key with [call.ReasonUnauthenticated]
// and requests for a service that is not configured with [call.ReasonUnknownService].
func Identify(views ViewSource) Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, exchange Exchange) (Exchange, error) {
			view := views.View()
			exchange = exchange.WithView(view)
			request := exchange.Request
			account, ok := view.Config.AccountByKeyHash(request.KeyHash)
			if !ok {
				return exchange, call.Refuse(call.ReasonUnauthenticated, "no client account has this access key")
			}
			service, ok := view.Config.Service(request.Service)
			if !ok {
				return exchange, call.Refuse(call.ReasonUnknownService, "service %q is not configured", request.Service)
			}
			timeout := defaultTimeout
			if service.TimeoutMs > 0 {
				timeout = time.Duration(service.TimeoutMs) * time.Millisecond
			}
			request = request.WithAccount(account.Name).WithDeadline(request.Arrived.Add(timeout))
			ctx, cancel := context.WithDeadline(ctx, request.Deadline)
			defer cancel()
			return next.Handle(ctx, exchange.WithRequest(request).WithServiceAndAccount(service, account))
		})
	}
}
