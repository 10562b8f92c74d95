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

// maxFilteredServers is the largest number of candidates that [Queues.PreferFreeServers]
// filters. With more candidates the scan of all of them costs more than it gains, and when
// many entries share many servers, an entry's share of a server is less than one slot.
const maxFilteredServers = 64

// PreferFreeServers restricts the candidates to the servers at which this entry has a
// free slot for the request's class.
//
// It is placed before the choice of the server. It keeps several entries from
// loading the same server while another one is idle. When no server with such a slot is
// left, because the request runs on a borrowed slot beyond this entry's share or all these
// servers were tried, the candidates stay unrestricted.
func (queues *Queues) PreferFreeServers() Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, exchange Exchange) (Exchange, error) {
			free := queues.freeServers(exchange)
			if len(free) > 0 {
				exchange.View.Fleet = exchange.View.Fleet.WithCandidates(exchange.Service.Name, free)
			}
			return next.Handle(ctx, exchange)
		})
	}
}

// CountLongWork counts the long requests at the chosen server, including requests that
// prove to be long while they run.
//
// It is placed after the choice of the server.
func (queues *Queues) CountLongWork() Filter {
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
			if meter.exceeded.Load() {
				queues.addLongWork(server, -1)
			}
			return exchange, err
		})
	}
}

// freeServers returns the untried servers with a free slot for the request: for long
// requests those in the lowest layer of slots (see [account.Capacity.NextLongSlot]), for
// short ones those with the fewest requests in flight, so that the entries together
// fill all servers evenly. It returns nil when there is none.
//
// Ejected servers, which the choice avoids for their failures or slowness, are added so
// that they get their probe requests. They do not count as free, because they have few
// requests in flight only for being avoided.
func (queues *Queues) freeServers(exchange Exchange) []backend.Server {
	candidates := exchange.View.Fleet.Candidates(exchange.Service.Name)
	if len(candidates) > maxFilteredServers {
		return nil
	}
	capacity := queues.capacity(exchange.Service, candidates)
	longWork, health := queues.longWork.Load(), exchange.View.Fleet.Pool(exchange.Service.Name).Health()
	var free, ejected []backend.Server
	// The level is the layer of the free slot for a long request, and the number of requests
	// in flight for a short one.
	lowestLevel := 0
	for index, server := range candidates {
		if health.IsEjected(server.Name) {
			ejected = append(ejected, server)
			continue
		}
		level, ok := 0, false
		if exchange.Request.Estimate.Class == call.ClassLong {
			level, ok = capacity.NextLongSlot(index, len(candidates), longWork[server.Name])
		} else {
			level = server.Observation.Load().InFlight
			ok = capacity.HasFreeSlot(index, len(candidates), level)
		}
		if !ok || slices.Contains(exchange.TriedServers, server.Name) || (free != nil && level > lowestLevel) {
			continue
		}
		if level < lowestLevel {
			free = nil
		}
		lowestLevel = level
		free = append(free, server)
	}
	if len(free) == 0 {
		return nil
	}
	return append(free, ejected...)
}

// capacity returns the slots of the candidates as divided between the entries.
func (queues *Queues) capacity(service config.Service, candidates []backend.Server) account.Capacity {
	slots := 0
	for _, server := range candidates {
		slots += server.Slots
	}
	partition := queues.partitions.Partition()
	shortSlots := queues.queue(service.Selector).Load().MeanShortSlots()
	return account.NewCapacity(slots, partition, shortSlots*float64(partition.Entries))
}

// addLongWork adds change to the number of this entry's long requests at a server.
func (queues *Queues) addLongWork(server string, change int) {
	queues.longWork.Update(func(counts map[string]int) map[string]int {
		next := maps.Clone(counts)
		next[server] += change
		if next[server] == 0 {
			delete(next, server)
		}
		return next
	})
}
