package forward

import (
	"maps"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/cluster"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/rollout"
)

// maxStops bounds the services of which stops of peers are kept.
const maxStops = 4096

// recordAnswer counts an answer of a route, if an order for the service has not ended.
func (rollouts *Rollouts) recordAnswer(server directory.Server, route string, failed bool, times rollout.Times) {
	state := rollouts.State(server.Service)
	order, side := state.Plan().Order.Revision, state.SideOf(server.Version)
	if order == 0 || state.Plan().Phase().Ended() || side == rollout.SideNone {
		return
	}
	oldKey := rollout.Key{Order: order, Route: route, Side: rollout.SideOld}
	reference := rollouts.counts.GetOrCreate(oldKey, rollout.Counts{}).Load().Plus(rollouts.peers.Load().Total()[oldKey])
	rollouts.counts.GetOrCreate(rollout.Key{Order: order, Route: route, Side: side}, rollout.Counts{}).Update(func(counts rollout.Counts) rollout.Counts {
		return counts.WithAnswer(failed, times, reference)
	})
	rollouts.recorder.RecordRolloutAnswer(server.Service, server.Version, failed)
}

// Stops returns the revisions of the orders that were stopped or rolled back, by service.
func (rollouts *Rollouts) Stops() map[string]int64 {
	stops := map[string]int64{}
	for _, service := range rollouts.Services() {
		if state := rollouts.State(service); state.Stopped() {
			stops[service] = state.Plan().Order.Revision
		}
	}
	return stops
}

// MergeStops merges the stops of a peer, and reports whether one of them was not known.
func (rollouts *Rollouts) MergeStops(stops map[string]int64) bool {
	stoppedAny := false
	for service, order := range stops {
		rollouts.stops.Update(func(known map[string]int64) map[string]int64 {
			if _, exists := known[service]; order <= known[service] || !exists && len(known) >= maxStops {
				return known // That of an earlier order must not replace that of a later one.
			}
			next := maps.Clone(known)
			next[service] = order
			return next
		})
		if _, changed := rollouts.stop(service, order); changed {
			stoppedAny = true
			rollouts.recorder.RecordRolloutStop(rollouts.State(service).Plan(), rollouts.Monitor(service).Summary(), true)
		}
	}
	return stoppedAny
}

// stop stops an order, and reports whether it was not stopped before.
func (rollouts *Rollouts) stop(service string, order int64) (rollout.State, bool) {
	return rcu.Apply(rollouts.state(service), func(state rollout.State) (rollout.State, bool) {
		next := state.WithStop(order)
		return next, next.Stopped() && !state.Stopped()
	})
}

// MergePeers adds up what the other entries have counted, and stops each order whose version is bad. It reports whether it
// stopped one.
func (rollouts *Rollouts) MergePeers(aggregates []cluster.Aggregate) bool {
	reports := map[string]rollout.Totals{}
	for _, aggregate := range aggregates {
		if aggregate.HasSums() {
			reports[aggregate.ID] = aggregate.Evidence
		}
	}
	peers := rollouts.peers.Update(func(sum rollout.Sum) rollout.Sum { return sum.WithReports(reports).Of(rollouts.IsCounted) })
	rollouts.counts.Drop(func(key rollout.Key, _ rollout.Counts) bool { return !rollouts.IsCounted(key.Order) })
	total, stoppedAny := peers.Total().Plus(rollouts.Evidence()), false
	for _, service := range rollouts.Services() {
		state := rollouts.State(service)
		plan := state.Plan()
		if plan.Order.Revision == 0 || plan.Phase().Ended() {
			continue
		}
		monitor := rollouts.monitors.GetOrCreate(service, rollout.Monitor{}).Update(func(monitor rollout.Monitor) rollout.Monitor {
			return monitor.WithEvidence(total, plan.Order.Revision, plan.Phase())
		})
		if !monitor.IsBad() {
			continue
		}
		if _, changed := rollouts.stop(service, plan.Order.Revision); changed {
			stoppedAny = true
			rollouts.recorder.RecordRolloutStop(plan, monitor.Summary(), false)
		}
	}
	return stoppedAny
}

// IsCounted reports whether the answers of an order are counted: it is the present one of a service and has not ended.
func (rollouts *Rollouts) IsCounted(order int64) bool {
	for _, plan := range rollouts.plans() {
		if order != 0 && plan.Order.Revision == order {
			return !plan.Phase().Ended()
		}
	}
	return false
}

// Evidence returns what this entry has counted.
func (rollouts *Rollouts) Evidence() rollout.Totals {
	totals := rollout.Totals{}
	for key, cell := range rollouts.counts.All() {
		totals[key] = cell.Load()
	}
	return totals
}
