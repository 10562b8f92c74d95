package request

import (
	"context"
	"fmt"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// StepChoose is the step of the choice of a backend server in decisions and errors.
const StepChoose = "choose"

// Chooser picks the backend server of an attempt.
type Chooser interface {
	// Choose returns false when no candidate is left.
	Choose(exchange Exchange, now time.Time) (backend.Choice, bool)
}

// PoolChooser picks from the server pool of a service by load, slowdown, failure
// domain and cached prompt prefixes.
type PoolChooser struct {
	Random backend.Random
	// Domain is the failure domain of the entry.
	Domain string
}

// Choose implements [Chooser] on the pool of the exchange's service.
func (poolChooser PoolChooser) Choose(exchange Exchange, now time.Time) (backend.Choice, bool) {
	request := exchange.Request
	return exchange.View.Fleet.Pool(exchange.Service.Name).Choose(backend.Query{
		Now:      now,
		Tried:    exchange.TriedServers,
		Domain:   poolChooser.Domain,
		Class:    request.Estimate.Class,
		Prefixes: backend.NewPrefixes(request.Completion.Model, request.Completion.Prompt),
	}, poolChooser.Random)
}

// Choose picks the backend server of an attempt without regard to failure domains.
//
// It calls random from several goroutines concurrently.
func Choose(random backend.Random) Filter {
	return ChooseWith(PoolChooser{Random: random})
}

// ChooseWith picks the backend server of an attempt with chooser, and records the
// attempt's times and result in the observation of that server.
func ChooseWith(chooser Chooser) Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, exchange Exchange) (Exchange, error) {
			now := time.Now()
			choice, ok := chooser.Choose(exchange, now)
			candidates := len(exchange.View.Fleet.Candidates(exchange.Service.Name))
			exchange = exchange.WithDecision(Decision{
				At:       now,
				Step:     StepChoose,
				Reason:   string(choice.Reason),
				Peer:     choice.Server.Name,
				Detail:   fmt.Sprintf("%d candidates", candidates),
				Rejected: choice.Rejected(),
			})
			if !ok {
				return exchange, call.Refuse(call.ReasonNoBackend, "no backend server of service %s accepts work", exchange.Service.Name).WithRetryAfter(time.Second)
			}
			return observeAttempt(ctx, next, exchange.WithServer(choice.Server).WithTriedServer(choice.Server.Name), now)
		})
	}
}
