package forward

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/cluster"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/rollout"
)

// maxStops bounds the services of which stops of peers are kept.
const maxStops = 4096

// RolloutSource provides the operators' orders.
type RolloutSource interface {
	// Rollouts returns the plans by service, and the store's revision at which they were read, 0 if they were not yet.
	Rollouts() (rollout.Plans, int64)
}

// RolloutRecorder records what happens in roll-outs, without blocking.
type RolloutRecorder interface {
	// RecordRolloutAnswer counts an answer of a server of a version in a roll-out.
	RecordRolloutAnswer(service, version string, failed bool)
	// RecordRolloutStop records that this entry stops sending calls to the new servers, by its own verdict or that of a peer.
	RecordRolloutStop(plan rollout.Plan, evidence rollout.Summary, byPeer bool)
}

// versionKey identifies a version of a service.
type versionKey struct{ service, version string }

// noticedVersion says since when this entry knows a version.
type noticedVersion struct {
	// revision is that of the list of servers in which the version appeared.
	revision int64
	// confirmed reports that the orders have been read at that revision or later.
	confirmed bool
}

// seenOrder is when this entry has first seen an order.
type seenOrder struct {
	order int64
	at    time.Time
}

// Rollouts restricts the servers of a service by their versions while operators' orders move its traffic to another version, and counts
// the answers of both. It is safe for concurrent use; nil restricts nothing.
type Rollouts struct {
	source   RolloutSource
	recorder RolloutRecorder
	// share is the part of a service's calls that new servers may get in a trial.
	share func() float64
	// known are the orders and records as of the latest read.
	known      *rcu.Cell[rollout.Known]
	states     rcu.Cells[string, rollout.State]
	monitors   rcu.Cells[string, rollout.Monitor]
	seen       rcu.Cells[string, seenOrder]
	counts     rcu.Cells[rollout.Key, rollout.Counts]
	inProgress rcu.Cells[versionKey, int]
	noticed    rcu.Cells[versionKey, noticedVersion]
	// peers adds up what the other entries have counted, and stops are the orders that were stopped, by service.
	peers *rcu.Cell[rollout.Sum]
	stops *rcu.Cell[map[string]int64]
}

// NewRollouts returns roll-outs by the orders of the source. Share returns the part of a service's calls that new servers may get
// in a trial.
func NewRollouts(source RolloutSource, share func() float64, recorder RolloutRecorder) *Rollouts {
	return &Rollouts{
		source: source, recorder: recorder, share: share, known: rcu.New(rollout.Known{}),
		states: rcu.NewCells[string, rollout.State](), monitors: rcu.NewCells[string, rollout.Monitor](), seen: rcu.NewCells[string, seenOrder](),
		counts: rcu.NewCells[rollout.Key, rollout.Counts](), inProgress: rcu.NewCells[versionKey, int](), noticed: rcu.NewCells[versionKey, noticedVersion](),
		peers: rcu.New(rollout.Sum{}), stops: rcu.New(map[string]int64{}),
	}
}

// State returns what this entry knows of a service, with the latest plan.
func (rollouts *Rollouts) State(service string) rollout.State { return rollouts.state(service).Load() }

// Monitor returns the evidence of all entries on a service, as of the last exchange.
func (rollouts *Rollouts) Monitor(service string) rollout.Monitor {
	return rollouts.monitors.GetOrCreate(service, rollout.Monitor{}).Load()
}

// FirstSeen returns when this entry first saw the present order of a service.
func (rollouts *Rollouts) FirstSeen(service string) time.Time {
	rollouts.state(service)
	return rollouts.seen.GetOrCreate(service, seenOrder{}).Load().at
}

// Revision returns the store's revision at which the orders and records were read.
func (rollouts *Rollouts) Revision() int64 {
	_, revision := rollouts.source.Rollouts()
	return revision
}

// Services returns the services that have an order or a record.
func (rollouts *Rollouts) Services() []string {
	return slices.Sorted(maps.Keys(rollouts.plans()))
}

// plans returns the plans by service that are in effect after the latest read of the store.
func (rollouts *Rollouts) plans() rollout.Plans {
	read, revision := rollouts.source.Rollouts()
	if known := rollouts.known.Load(); known.IsOf(read, revision) {
		return known.Plans()
	}
	return rollouts.known.Update(func(known rollout.Known) rollout.Known { return known.WithRead(read, revision) }).Plans()
}

// state returns the cell with the state of a service, after it was given the latest plan.
func (rollouts *Rollouts) state(service string) *rcu.Cell[rollout.State] {
	plan, cell := rollouts.plans()[service], rollouts.states.GetOrCreate(service, rollout.State{})
	if cell.Load().Stored().Same(plan) {
		return cell
	}
	draw, stopped := rand.Float64(), rollouts.stops.Load()[service]
	cell.Update(func(state rollout.State) rollout.State {
		// The plan is loaded after the state, so that it does not replace a later one that another call has set meanwhile.
		return state.WithPlan(rollouts.plans()[service], draw).WithStop(stopped)
	})
	rollouts.seen.GetOrCreate(service, seenOrder{}).Update(func(seen seenOrder) seenOrder {
		if seen.order == plan.Order.Revision {
			return seen
		}
		return seenOrder{plan.Order.Revision, time.Now()}
	})
	return cell
}

// RecordCall records that a call of a route to a service has arrived, which adds to the share of new servers.
func (rollouts *Rollouts) RecordCall(service, route string) {
	if rollouts == nil {
		return
	}
	if cell := rollouts.state(service); cell.Load().Phase() == rollout.PhaseTrial {
		cell.Update(func(state rollout.State) rollout.State { return state.WithRequest(route, rollouts.share()) })
	}
}

// selection is the servers that an attempt may be sent to.
type selection struct {
	preferred []directory.Server
	// fallback is used if none of the preferred servers takes the call.
	fallback []directory.Server
	// exposes reports that the attempt counts as one at a new server in a trial, unless it is sent to the fallback.
	exposes bool
}

// selectServers returns the servers of a service that the next attempt of a call may be sent to. Exposable is whether it may be
// sent to a new server in a trial.
func (rollouts *Rollouts) selectServers(servers directory.Servers, service, route string, exposable bool) selection {
	if rollouts == nil {
		return selection{preferred: servers.OfService(service)}
	}
	// The list was loaded before the orders, so orders of at least its revision are not older.
	cell, known := rollouts.state(service), rollouts.confirmed(servers, service)
	state := cell.Load()
	if state.Plan().IsZero() {
		return selection{preferred: known}
	}
	onSide := func(side rollout.Side) []directory.Server { return state.Candidates(known, side, rollouts.share()) }
	switch state.Phase() {
	case rollout.PhaseTrial:
		if !exposable {
			break
		}
		draw := rand.Float64()
		if _, taken := rcu.Apply(cell, func(state rollout.State) (rollout.State, bool) {
			return state.WithExposure(route, rollouts.share(), draw)
		}); taken {
			return selection{preferred: onSide(rollout.SideNew), fallback: onSide(rollout.SideOld), exposes: true}
		}
	case rollout.PhaseShift:
		return selection{preferred: onSide(rollout.SideNew), fallback: onSide(rollout.SideOld)}
	case rollout.PhaseDone:
		return selection{preferred: onSide(rollout.SideNew)}
	}
	return selection{preferred: onSide(rollout.SideOld)}
}

// confirmed returns the servers of a service, which the caller must not change, without those of versions that this entry has not seen
// before, until the orders have been read at a revision not below that of the list in which they appeared.
func (rollouts *Rollouts) confirmed(servers directory.Servers, service string) []directory.Server {
	_, revision := rollouts.source.Rollouts()
	listed := servers.OfService(service)
	var confirmed []directory.Server
	isConfirmed, heldBack := false, false
	for i, server := range listed {
		if i == 0 || server.Version != listed[i-1].Version {
			isConfirmed = rollouts.isConfirmed(versionKey{service, server.Version}, servers.Revision(), revision)
		}
		switch {
		case !isConfirmed && !heldBack:
			// The list is shared, and copied only if it has servers that are held back.
			confirmed, heldBack = append(confirmed, listed[:i]...), true
		case isConfirmed && heldBack:
			confirmed = append(confirmed, server)
		}
	}
	if !heldBack {
		return listed
	}
	return confirmed
}

// isConfirmed reports whether the orders have been read at a revision not below that of the list in which a version appeared.
func (rollouts *Rollouts) isConfirmed(key versionKey, listRevision, ordersRevision int64) bool {
	cell := rollouts.noticed.GetOrCreate(key, noticedVersion{revision: listRevision})
	noticed := cell.Load()
	if !noticed.confirmed && ordersRevision > 0 && ordersRevision >= noticed.revision {
		noticed.confirmed = true
		cell.Store(noticed)
	}
	return noticed.confirmed
}

// HasConfirmed reports whether calls can be sent to any listed server: at the start of an entry, the list may be newer than the orders.
func (rollouts *Rollouts) HasConfirmed(servers directory.Servers) bool {
	if rollouts == nil || len(servers.All()) == 0 {
		return true
	}
	checked := map[string]bool{}
	for _, server := range servers.All() {
		if checked[server.Service] {
			continue
		}
		checked[server.Service] = true
		if len(rollouts.confirmed(servers, server.Service)) > 0 {
			return true
		}
	}
	return false
}

// returnExposure returns the share that a call took which was not sent to a new server.
func (rollouts *Rollouts) returnExposure(service, route string) {
	rollouts.state(service).Update(func(state rollout.State) rollout.State { return state.WithoutExposure(route) })
}

// recordRepeat records that a call was sent to the same server again.
func (rollouts *Rollouts) recordRepeat(server directory.Server, route string) {
	if rollouts == nil {
		return
	}
	cell := rollouts.state(server.Service)
	if state := cell.Load(); state.Phase() == rollout.PhaseTrial && state.SideOf(server.Version) == rollout.SideNew {
		cell.Update(func(state rollout.State) rollout.State { return state.WithRepeat(route) })
	}
}

// begin counts an attempt that is about to be sent to a server, or returns false if calls may no longer be sent there. After true, end
// must be called.
//
// The attempt is counted before the check, and [Rollouts.Moved] reads the phase before the counts, so an entry that has reported that
// it has moved begins no attempt at an old server.
func (rollouts *Rollouts) begin(server directory.Server) bool {
	if rollouts == nil {
		return true
	}
	rollouts.countInProgress(server, 1)
	if rollouts.state(server.Service).Load().Allows(server.Version) {
		return true
	}
	rollouts.countInProgress(server, -1)
	return false
}

// end records that an attempt at a server has ended.
func (rollouts *Rollouts) end(server directory.Server) {
	if rollouts != nil {
		rollouts.countInProgress(server, -1)
	}
}

func (rollouts *Rollouts) countInProgress(server directory.Server, calls int) {
	rollouts.inProgress.GetOrCreate(versionKey{server.Service, server.Version}, 0).Update(func(count int) int { return count + calls })
}

// Planned returns the servers of a service without those of the version that does not serve: the new one up to its shift, then the old
// ones. It reports whether an order is in progress.
func (rollouts *Rollouts) Planned(service string, servers []directory.Server) ([]directory.Server, bool) {
	if rollouts == nil {
		return servers, false
	}
	state := rollouts.State(service)
	phase, serves := state.Phase(), rollout.SideOld
	if phase == rollout.PhaseShift || phase == rollout.PhaseDone {
		serves = rollout.SideNew
	}
	planned := make([]directory.Server, 0, len(servers))
	for _, server := range servers {
		if state.SideOf(server.Version) == serves {
			planned = append(planned, server)
		}
	}
	return planned, phase == rollout.PhaseTrial || phase == rollout.PhaseShift
}

// Moved returns 1 for each order in its shift, by its revision, for which this entry has no call in progress at an old server.
func (rollouts *Rollouts) Moved() map[int64]float64 {
	var moved map[int64]float64
	for _, service := range rollouts.Services() {
		state := rollouts.State(service)
		if state.Phase() != rollout.PhaseShift || rollouts.oldInProgress(service, state) > 0 {
			continue
		}
		if moved == nil {
			moved = map[int64]float64{}
		}
		moved[state.Plan().Order.Revision] = 1
	}
	return moved
}

// oldInProgress returns the number of this entry's calls in progress at servers of other versions than the new one.
func (rollouts *Rollouts) oldInProgress(service string, state rollout.State) int {
	count := 0
	for key, cell := range rollouts.inProgress.All() {
		if key.service == service && key.version != state.Plan().Order.To {
			count += cell.Load()
		}
	}
	return count
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
