package forward

import (
	"context"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/shutdown"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

const (
	// stoppingRetryAfter is the time after which the caller of a call that cannot end here may retry: another entry takes it at once.
	stoppingRetryAfter = 50 * time.Millisecond
	// maxDurations bounds the routes whose durations are kept, since routes come and go while an entry runs.
	maxDurations = 4096
)

// Stopping refuses calls that a stopping entry could not finish, and measures how long calls take for that. It is safe for
// concurrent use.
type Stopping struct {
	// cutoff is when the entry cuts off what is in progress, zero before it stops.
	cutoff *rcu.Cell[time.Time]
	// durations are those of whole answers, by route.
	durations rcu.Cells[string, shutdown.Duration]
}

// NewStopping returns the filter of an entry that does not stop.
func NewStopping() *Stopping {
	return &Stopping{cutoff: rcu.New(time.Time{}), durations: rcu.NewCells[string, shutdown.Duration]()}
}

// Begin makes the filter refuse calls that cannot end before cutoff.
func (stopping *Stopping) Begin(cutoff time.Time) { stopping.cutoff.Store(cutoff) }

// Filter returns a filter that refuses such calls with [call.ReasonStopping]. It comes after [Match], which sets the route and the deadline.
func (stopping *Stopping) Filter() request.Filter {
	return func(next request.Handler) request.Handler {
		return request.HandlerFunc(func(ctx context.Context, exchange request.Exchange) (request.Exchange, error) {
			began := time.Now()
			duration := stopping.duration(exchange.Route.Name)
			cutoff := stopping.cutoff.Load()
			if !cutoff.IsZero() && !duration.Load().CanEnd(began, exchange.Request.Deadline, cutoff) {
				return exchange, call.Refuse(call.ReasonStopping, "this entry is stopping, and the %v that it has left are too short for a call on route %s; retry at another entry",
					cutoff.Sub(began).Round(time.Millisecond), exchange.Route.Name).WithRetryAfter(stoppingRetryAfter)
			}
			handled, err := next.Handle(ctx, exchange)
			if err == nil {
				elapsed := time.Since(began)
				duration.Update(func(duration shutdown.Duration) shutdown.Duration { return duration.WithSample(elapsed) })
			}
			return handled, err
		})
	}
}

// duration returns the cell with the duration of the calls of a route.
func (stopping *Stopping) duration(route string) *rcu.Cell[shutdown.Duration] {
	if len(stopping.durations.All()) >= maxDurations {
		stopping.durations.Drop(func(string, shutdown.Duration) bool { return true })
	}
	return stopping.durations.GetOrCreate(route, shutdown.Duration{})
}
