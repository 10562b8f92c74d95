package rollout

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
)

// Side says on which side of a roll-out a server is.
type Side string

// The sides of a roll-out.
const (
	SideOld Side = "Old"
	SideNew Side = "New"
	// SideNone is for a version that no order allows.
	SideNone Side = "None"
)

const (
	// exposureMargin is the part of the permitted share that entries use. The rest is for calls that they send again on another
	// connection, and for those that they have sent when they have not counted all of their own calls.
	exposureMargin = 0.8
	// routeReserve is the number of calls of the share that are kept for routes with few calls, so that each route is tried.
	routeReserve = 2
	// maxUnused is the number of calls of the share that an entry may send later. Without it, new servers that register late would
	// get all calls of the time before at once.
	maxUnused = 4
	// maxRouteShare is the probability, as a multiple of the share, with which a call is sent to a new server if its route has had its
	// equal part, for the same reason.
	maxRouteShare = 1.5
	// countRounding is the fraction of a server up to which the number of new servers is rounded down. A new server then has up to a
	// quarter more calls than an old one, so that faults under load show. With twice as many, it would be slow without being bad.
	countRounding = 0.25
)

// State is what one entry knows of the versions of one service. It is immutable.
type State struct {
	// stored is the plan of the last read, with the record that the store has, and plan the one in effect. The record of plan is an earlier
	// one if that of stored was lost, malformed or replaced by an older one.
	stored, plan Plan
	// stopped and done report that the order of the plan was stopped or done, also if the store has lost its record since.
	stopped, done bool
	// requests is the number of calls since the entry knows the order, exposed those that it sent to new servers, and byRoute the
	// latter by route, with all routes that had calls.
	requests, exposed int
	byRoute           map[string]int
	// expired is the number of calls of the share that were not used in time and are not sent later.
	expired int
	// rounding is a random number in [0, 1) by which the number of calls of the share is rounded, so that the shares of many entries
	// with few calls add up to the share of all.
	rounding float64
}

// WithPlan returns the state with what the store has. Rounding is a random number in [0, 1) by which the share of a trial is rounded. A
// record that is older than the one that the entry has, or of an earlier phase in a restored store, changes nothing, and an order that was
// stopped or done stays so.
func (state State) WithPlan(plan Plan, rounding float64) State {
	if state.stored.Same(plan) {
		return state
	}
	if plan.Order.Revision != state.plan.Order.Revision {
		return State{stored: plan, plan: plan, rounding: rounding}.withEnd()
	}
	state.stored = plan
	if last := state.plan.Record; last.staysAfter(plan.Record, plan.Order) {
		plan.Record = last
	}
	state.plan = plan
	return state.withEnd()
}

// withEnd returns the state with the end of the order that the plan has.
func (state State) withEnd() State {
	if state.plan.Order.Revision == 0 {
		return state
	}
	state.stopped = state.stopped || state.plan.Phase() == PhaseRolledBack
	state.done = state.done || state.plan.Phase() == PhaseDone
	return state
}

// WithStop returns the state after the order with a revision was stopped; another one changes nothing.
func (state State) WithStop(order int64) State {
	if order != 0 && order == state.plan.Order.Revision && !state.done {
		state.stopped = true
	}
	return state
}

// Plan returns what the store has, with the latest record that the entry has seen.
func (state State) Plan() Plan { return state.plan }

// Stored returns the plan of the last read, with the record that the store has.
func (state State) Stored() Plan { return state.stored }

// Stopped reports whether new servers must not get calls any more.
func (state State) Stopped() bool { return state.stopped }

// Phase returns the phase of the order by what the store has and what the entry has seen, empty without an order.
func (state State) Phase() Phase {
	switch {
	case state.plan.Order.Revision == 0:
		return ""
	case state.done:
		return PhaseDone
	case state.stopped:
		return PhaseRolledBack
	}
	return state.plan.Phase()
}

// SideOf returns the side of a version.
func (state State) SideOf(version string) Side {
	plan := state.plan
	if plan.Order.Revision == 0 {
		if plan.Record.excludes(version) {
			return SideNone // The order was taken back.
		}
		return SideOld
	}
	if version == plan.Order.To {
		return SideNew
	}
	if base := plan.Base(); len(base) > 0 && !slices.Contains(base, version) {
		return SideNone
	}
	return SideOld
}

// Allows reports whether a call may be sent to a server of a version now. Of new servers in the trial it says nothing of the share.
func (state State) Allows(version string) bool {
	switch state.SideOf(version) {
	case SideNone:
		return false
	case SideNew:
		return state.Phase() != PhaseRolledBack
	}
	return state.Phase() != PhaseDone
}

// Candidates returns the servers of a side that a call may be sent to now. Of new servers in the trial it returns a few, the same ones at
// all entries, so that each has about as many calls as an old one.
func (state State) Candidates(servers []directory.Server, side Side, share float64) []directory.Server {
	var candidates []directory.Server
	old := 0
	for _, server := range servers {
		found := state.SideOf(server.Version)
		if found == SideOld {
			old++
		}
		if found == side && state.Allows(server.Version) {
			candidates = append(candidates, server)
		}
	}
	if side != SideNew || state.Phase() != PhaseTrial {
		return candidates
	}
	slices.SortFunc(candidates, func(a, b directory.Server) int {
		return cmp.Or(cmp.Compare(a.StartedMs, b.StartedMs), cmp.Compare(a.ID, b.ID))
	})
	used := share * exposureMargin
	count := math.Ceil(used/(1-used)*float64(old) - countRounding)
	return candidates[:min(len(candidates), max(1, int(count)))]
}

// WithRequest returns the state after a call of a route to the service has arrived.
func (state State) WithRequest(route string, share float64) State {
	if state.plan.Order.Revision == 0 {
		return state
	}
	state.requests++
	state.expired += max(0, state.left(share)-maxUnused)
	if _, known := state.byRoute[route]; !known {
		return state.withSent(route, 0)
	}
	return state
}

// WithExposure returns the state after a call of a route was assigned to a new server in the trial, or false if that would exceed the
// share of the entry's calls. Routes that have had less than their equal part come first. Draw is a random number in [0, 1).
func (state State) WithExposure(route string, share, draw float64) (State, bool) {
	if state.Phase() != PhaseTrial {
		return state, false
	}
	left, used := state.left(share), state.byRoute[route]*max(1, len(state.byRoute))
	switch {
	case left < 1, used > state.exposed && left <= routeReserve:
		return state, false
	case used >= state.exposed && draw >= maxRouteShare*share:
		return state, false
	}
	return state.withSent(route, 1), true
}

// left returns the number of calls that may be sent to new servers now.
func (state State) left(share float64) int {
	return int(math.Floor(share*exposureMargin*float64(state.requests)+state.rounding)) - state.exposed - state.expired
}

// WithoutExposure returns the state after an assigned call was not sent.
func (state State) WithoutExposure(route string) State { return state.withSent(route, -1) }

// WithRepeat returns the state after a call was sent to the same new server again.
func (state State) WithRepeat(route string) State { return state.withSent(route, 1) }

// withSent returns the state with a number of calls of a route at new servers added.
func (state State) withSent(route string, calls int) State {
	byRoute := maps.Clone(state.byRoute)
	if byRoute == nil {
		byRoute = map[string]int{}
	}
	byRoute[route] = max(0, byRoute[route]+calls)
	state.byRoute, state.exposed = byRoute, max(0, state.exposed+calls)
	return state
}
