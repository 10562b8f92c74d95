package request

import (
	"context"
	"maps"
	"slices"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/account"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
)

// maxFilteredServers is the largest number of servers that are placed one by one. Beyond
// it a look at each costs more than it gains, and an entry's share of a server is
// less than a slot when many entries share many servers.
const maxFilteredServers = 64

// Place offers work the servers where this entry has a slot of the work's class left.
//
// It stands before the choice of the server. Entries that keep to their own slots do
// not meet at one server while another is idle. When no slot is left, because the
// work is borrowed or all were tried, all servers are offered.
func (queues *Queues) Place() Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, exchange Exchange) (Exchange, error) {
			offered := queues.freeServers(exchange)
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
				queues.addLongWork(server, 1)
				defer queues.addLongWork(server, -1)
				return next.Handle(ctx, exchange)
			}
			if exchange.Sink == nil {
				return next.Handle(ctx, exchange)
			}
			meter := &meter{}
			boundary := queues.estimator.Load().Forecast(exchange.Request).Boundary
			exchange = exchange.WithSink(meter.sink(exchange.Sink, boundary, func() { queues.addLongWork(server, 1) }))
			exchange, err := next.Handle(ctx, exchange)
			if meter.passed.Load() {
				queues.addLongWork(server, -1)
			}
			return exchange, err
		})
	}
}

// freeServers returns the untried servers with a free slot for the work, for long work
// those in the lowest layer, so that the entries together fill all servers evenly.
//
// Ejected servers are added for their probes. They do not count as free: they
// have little in flight because they are avoided.
func (queues *Queues) freeServers(exchange Exchange) []backend.Server {
	candidates := exchange.View.Fleet.Candidates(exchange.Service.Name)
	if len(candidates) > maxFilteredServers {
		return nil
	}
	capacity := queues.capacity(exchange.Service, candidates)
	held, health := queues.longWork.Load(), exchange.View.Fleet.Pool(exchange.Service.Name).Health()
	var offered, ejected []backend.Server
	lowest := 0
	for at, server := range candidates {
		if health.Ejected(server.Name) {
			ejected = append(ejected, server)
			continue
		}
		layer, ok := 0, false
		if exchange.Request.Estimate.Class == call.ClassLong {
			layer, ok = capacity.NextLong(at, len(candidates), held[server.Name])
		} else {
			layer = server.Observation.Load().InFlight
			ok = capacity.Claims(at, len(candidates), layer)
		}
		if !ok || slices.Contains(exchange.Tried, server.Name) || (offered != nil && layer > lowest) {
			continue
		}
		if layer < lowest {
			offered = nil
		}
		lowest = layer
		offered = append(offered, server)
	}
	if len(offered) == 0 {
		return nil
	}
	return append(offered, ejected...)
}

func (queues *Queues) capacity(service config.Service, candidates []backend.Server) account.Capacity {
	slots := 0
	for _, server := range candidates {
		slots += server.Slots
	}
	share := queues.entries.Share()
	short := queues.queue(service.Selector).Load().ShortSlots()
	return account.NewCapacity(slots, share, short*float64(share.Entries))
}

func (queues *Queues) addLongWork(server string, change int) {
	queues.longWork.Update(func(held map[string]int) map[string]int {
		next := maps.Clone(held)
		next[server] += change
		if next[server] == 0 {
			delete(next, server)
		}
		return next
	})
}
