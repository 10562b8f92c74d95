package request

import (
	"context"
	"maps"
	"slices"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/account"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// Place offers long work only the servers where this entry has a long slot left.
//
// It stands before the choice of the server. When no server has a slot left, for
// example because demoted work holds them or all were tried, it offers them all.
func (queues *Queues) Place() Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, exchange Exchange) (Exchange, error) {
			if exchange.Request.Estimate.Class != call.ClassLong {
				return next.Handle(ctx, exchange)
			}
			offered := queues.longServers(exchange)
			if len(offered) > 0 {
				exchange.View.Fleet = exchange.View.Fleet.WithCandidates(exchange.Service.Name, offered)
			}
			return next.Handle(ctx, exchange)
		})
	}
}

// Hold counts long work at the chosen server, including work that turns out long while it runs.
//
// It stands after the choice of the server.
func (queues *Queues) Hold() Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, exchange Exchange) (Exchange, error) {
			server := exchange.Server.Name
			if exchange.Request.Estimate.Class == call.ClassLong {
				queues.hold(server, 1)
				defer queues.hold(server, -1)
				return next.Handle(ctx, exchange)
			}
			if exchange.Sink == nil {
				return next.Handle(ctx, exchange)
			}
			meter := &meter{}
			boundary := queues.estimator.Load().Forecast(exchange.Request).Boundary
			exchange = exchange.WithSink(meter.sink(exchange.Sink, boundary, func() { queues.hold(server, 1) }))
			exchange, err := next.Handle(ctx, exchange)
			if meter.passed.Load() {
				queues.hold(server, -1)
			}
			return exchange, err
		})
	}
}

// longServers returns the servers with a free long slot in the lowest layer, so that
// the entries together fill all servers evenly.
func (queues *Queues) longServers(exchange Exchange) []backend.Server {
	candidates := exchange.View.Fleet.Candidates(exchange.Service.Name)
	slots := 0
	for _, server := range candidates {
		slots += server.Slots
	}
	share := queues.entries.Share()
	short := queues.queue(exchange.Service.Selector).Load().ShortSlots()
	capacity := account.NewCapacity(slots, share, short*float64(share.Entries))
	held := queues.held.Load()
	var best []backend.Server
	lowest := 0
	for at, server := range candidates {
		layer, ok := capacity.NextLong(at, len(candidates), held[server.Name])
		if !ok || slices.Contains(exchange.Tried, server.Name) || (best != nil && layer > lowest) {
			continue
		}
		if best == nil || layer < lowest {
			best, lowest = nil, layer
		}
		best = append(best, server)
	}
	return best
}

func (queues *Queues) hold(server string, change int) {
	queues.held.Update(func(held map[string]int) map[string]int {
		next := maps.Clone(held)
		next[server] += change
		if next[server] == 0 {
			delete(next, server)
		}
		return next
	})
}
