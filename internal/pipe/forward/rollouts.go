package forward

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/rollout"
)

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
	// exposeShare returns the part of a service's calls that new servers may get in a trial.
	exposeShare func() float64
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

// NewRollouts returns roll-outs by the orders of the source. ExposeShare returns the part of a service's calls that new
// servers may get in a trial.
func NewRollouts(source RolloutSource, exposeShare func() float64, recorder RolloutRecorder) *Rollouts {
	return &Rollouts{
		source: source, recorder: recorder, exposeShare: exposeShare, known: rcu.New(rollout.Known{}),
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
