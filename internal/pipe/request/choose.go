package request

import (
	"context"
	"fmt"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// StepChoose names the choice of a backend server in decisions and errors.
const StepChoose = "choose"

// Choose picks the backend server of a try and counts the work in flight there.
func Choose(random backend.Random) Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, exchange Exchange) (Exchange, error) {
			candidates := exchange.View.Fleet.Candidates(exchange.Service.Name)
			choice, ok := backend.Choose(candidates, exchange.Tried, random)
			exchange = exchange.WithDecision(Decision{
				At:     time.Now(),
				Step:   StepChoose,
				Reason: string(choice.Reason),
				Peer:   choice.Server.Name,
				Detail: fmt.Sprintf("%d candidates", len(candidates)),
			})
			if !ok {
				return exchange, call.Refuse(call.ReasonNoBackend, "no backend server for service %s takes work", exchange.Service.Name).WithRetryAfter(time.Second)
			}
			choice.Server.Observation.Update(backend.Observation.WithStart)
			defer choice.Server.Observation.Update(backend.Observation.WithEnd)
			return next.Handle(ctx, exchange.WithServer(choice.Server).WithTried(choice.Server.Name))
		})
	}
}
