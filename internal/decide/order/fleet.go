package order

import (
	"maps"
	"time"
)

// Fleet is the progress of all backend servers under one duty, within the budget of the weight store.
type Fleet struct {
	number  int64
	timing  Timing
	granted time.Time
	budget  Budget
	servers map[string]member
	busy    int
}

// member is one backend server of a fleet.
type member struct {
	target   Target
	progress Progress
	busy     bool
	// retired marks a server that is no longer a target.
	retired bool
}

// Action is a step that is to be taken at a backend server now.
type Action struct {
	Step
	Server Server
	// Number is the fencing number that an order carries.
	Number int64
}

// Result is what became of an action.
type Result struct {
	Action
	// Outcome is set for [StepSend].
	Outcome Outcome
	// State is set for [StepRead], nil if it could not be read.
	State *ServerState
}

// NewFleet returns the fleet of a holder that got the number at the given time.
func NewFleet(number int64, granted time.Time, timing Timing, budget Budget) Fleet {
	return Fleet{number: number, timing: timing, granted: granted, budget: budget}
}

// WithTargets returns the fleet with the given targets.
//
// A server that is no longer a target is remembered while an order to it may be
// under way, in case it becomes one again. Servers that appear later count from
// the grant as well, since that is when an earlier holder stopped.
func (fleet Fleet) WithTargets(targets []Target, now time.Time) Fleet {
	servers := make(map[string]member, len(targets))
	for name, known := range fleet.servers {
		if known.busy || now.Before(known.progress.quiet) {
			known.retired = true
			servers[name] = known
		}
	}
	for _, target := range targets {
		known, ok := fleet.servers[target.Name]
		if ok {
			known.progress = known.progress.WithServer(target.Server)
		} else {
			known.progress = NewProgress(target.Server, fleet.number, fleet.granted, fleet.timing)
		}
		known.target, known.retired = target, false
		servers[target.Name] = known
	}
	fleet.servers = servers
	return fleet
}

// WithActions returns the fleet that takes actions, the actions, and when to look again.
//
// At most one action is taken at a server at a time.
func (fleet Fleet) WithActions(now time.Time) (Fleet, []Action, time.Time) {
	wake := now.Add(fleet.timing.ReadInterval)
	var actions []Action
	var loads []PendingLoad
	waiting := map[string]Action{}
	for name, member := range fleet.servers {
		if member.busy || member.retired {
			continue
		}
		action := Action{Step: member.progress.Next(member.target.Desired, now), Server: member.target.Server, Number: fleet.number}
		switch {
		case action.Kind == StepWait:
			wake = earlier(wake, action.Until)
		case action.Kind == StepSend && action.Order.Kind == KindLoad:
			waiting[name] = action
			loads = append(loads, PendingLoad{Server: name, Bytes: action.Load.Bytes, Need: action.Load.Need})
		case action.Kind != StepStop && fleet.busy+len(actions) < fleet.timing.Calls:
			actions = append(actions, action)
		}
	}
	room := max(0, fleet.timing.Calls-fleet.busy-len(actions))
	budget, granted, next := fleet.budget.WithLoads(loads, room, now)
	fleet.budget = budget
	for _, load := range granted {
		actions = append(actions, waiting[load.Server])
	}
	if !next.IsZero() {
		wake = earlier(wake, next)
	}
	return fleet.withBusy(actions), actions, wake
}

// WithResult returns the fleet after an action, and whether its holder may go on.
func (fleet Fleet) WithResult(result Result, now time.Time) (Fleet, bool) {
	if result.Outcome == OutcomeNotSent {
		fleet.budget = fleet.budget.WithRefund(result.Load.Bytes)
	}
	known, ok := fleet.servers[result.Server.Name]
	if !ok || !known.busy {
		return fleet, result.Outcome != OutcomeStale
	}
	known.busy = false
	switch {
	case result.Server != known.target.Server:
		// The target changed meanwhile, and the result is that of another server.
	case result.Kind == StepSend:
		known.progress = known.progress.WithOutcome(result.Order, result.Outcome, now)
	case result.State == nil:
		known.progress = known.progress.WithUnread(now)
	default:
		known.progress = known.progress.WithState(*result.State, now)
	}
	fleet.servers = maps.Clone(fleet.servers)
	fleet.servers[result.Server.Name] = known
	fleet.busy--
	return fleet, !known.progress.stale
}

// Converged reports whether a server was last read as desired.
func (fleet Fleet) Converged(server string) bool {
	known, ok := fleet.servers[server]
	return ok && known.progress.Converged(known.target.Desired)
}

func (fleet Fleet) withBusy(actions []Action) Fleet {
	fleet.servers = maps.Clone(fleet.servers)
	for _, action := range actions {
		member := fleet.servers[action.Server.Name]
		member.busy = true
		fleet.servers[action.Server.Name] = member
	}
	fleet.busy += len(actions)
	return fleet
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
