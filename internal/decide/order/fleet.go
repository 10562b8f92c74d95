package order

import (
	"maps"
	"time"
)

// Fleet is the progress of all backend servers of one leader, together with the budget of the weight store.
type Fleet struct {
	fencingNumber int64
	timing        Timing
	grantedAt     time.Time
	budget        Budget
	servers       map[string]managedServer
	// busyCount is the number of servers with an action in progress.
	busyCount int
}

// managedServer is the state of one backend server in a fleet.
type managedServer struct {
	target   Target
	progress Progress
	// busy marks a server with an action in progress.
	busy bool
	// retired marks a server that is no longer a target, but is kept while an order may still take effect.
	retired bool
}

// Action is a step to take at a backend server now.
type Action struct {
	Step
	Server Server
	// FencingNumber is the fencing number to send with an order.
	FencingNumber int64
}

// Result is the result of an action.
type Result struct {
	Action
	// Outcome is set for [StepSend].
	Outcome Outcome
	// State is set for [StepRead]; nil if the state could not be read.
	State *ServerState
}

// NewFleet returns the fleet of a leader that was granted its lease and fencing number at the given time.
func NewFleet(fencingNumber int64, grantedAt time.Time, timing Timing, budget Budget) Fleet {
	return Fleet{fencingNumber: fencingNumber, timing: timing, grantedAt: grantedAt, budget: budget}
}

// WithTargets returns the fleet with the given targets.
//
// A server that is no longer a target is kept while an order to it may still take
// effect, in case it becomes a target again. The waiting time for a server that is
// added later also starts at the grant, since the previous leader had stopped by then.
func (fleet Fleet) WithTargets(targets []Target, now time.Time) Fleet {
	servers := make(map[string]managedServer, len(targets))
	for name, managed := range fleet.servers {
		if managed.busy || now.Before(managed.progress.quietUntil) {
			managed.retired = true
			servers[name] = managed
		}
	}
	for _, target := range targets {
		managed, ok := fleet.servers[target.Name]
		if ok {
			managed.progress = managed.progress.WithServer(target.Server)
		} else {
			managed.progress = NewProgress(target.Server, fleet.fencingNumber, fleet.grantedAt, fleet.timing)
		}
		managed.target, managed.retired = target, false
		servers[target.Name] = managed
	}
	fleet.servers = servers
	return fleet
}

// WithActions returns the fleet with the next actions marked as in progress, these
// actions, and the time at which to call it again if no result arrives before.
//
// There is at most one action in progress per server.
func (fleet Fleet) WithActions(now time.Time) (Fleet, []Action, time.Time) {
	wake := now.Add(fleet.timing.ReadInterval)
	var actions []Action
	var loads []PendingLoad
	loadActions := map[string]Action{}
	for name, managed := range fleet.servers {
		if managed.busy || managed.retired {
			continue
		}
		action := Action{Step: managed.progress.Next(managed.target.Desired, now), Server: managed.target.Server, FencingNumber: fleet.fencingNumber}
		switch {
		case action.Kind == StepWait:
			wake = earlier(wake, action.Until)
		case action.Kind == StepSend && action.Order.Kind == KindLoad:
			loadActions[name] = action
			loads = append(loads, PendingLoad{Server: name, Bytes: action.Load.Bytes, Priority: action.Load.Priority})
		case action.Kind != StepStop && fleet.busyCount+len(actions) < fleet.timing.MaxCalls:
			actions = append(actions, action)
		}
	}
	room := max(0, fleet.timing.MaxCalls-fleet.busyCount-len(actions))
	budget, startable, nextLoadAt := fleet.budget.WithLoads(loads, room, now)
	fleet.budget = budget
	for _, load := range startable {
		actions = append(actions, loadActions[load.Server])
	}
	if !nextLoadAt.IsZero() {
		wake = earlier(wake, nextLoadAt)
	}
	return fleet.withBusy(actions), actions, wake
}

// WithResult returns the fleet after an action, and false if a later leader has replaced this one.
func (fleet Fleet) WithResult(result Result, now time.Time) (Fleet, bool) {
	if result.Outcome == OutcomeNotSent {
		fleet.budget = fleet.budget.WithRefund(result.Load.Bytes)
	}
	managed, ok := fleet.servers[result.Server.Name]
	if !ok || !managed.busy {
		return fleet, result.Outcome != OutcomeStale
	}
	managed.busy = false
	switch {
	case result.Server != managed.target.Server:
		// The target changed during the action, so the result belongs to the previous server.
	case result.Kind == StepSend:
		managed.progress = managed.progress.WithOutcome(result.Order, result.Outcome, now)
	case result.State == nil:
		managed.progress = managed.progress.WithReadFailure(now)
	default:
		managed.progress = managed.progress.WithState(*result.State, now)
	}
	fleet.servers = maps.Clone(fleet.servers)
	fleet.servers[result.Server.Name] = managed
	fleet.busyCount--
	return fleet, !managed.progress.stale
}

// Converged reports whether the last state read from a server is the desired one.
func (fleet Fleet) Converged(server string) bool {
	managed, ok := fleet.servers[server]
	return ok && managed.progress.Converged(managed.target.Desired)
}

// withBusy returns the fleet with the servers of the actions marked as busy.
func (fleet Fleet) withBusy(actions []Action) Fleet {
	fleet.servers = maps.Clone(fleet.servers)
	for _, action := range actions {
		managed := fleet.servers[action.Server.Name]
		managed.busy = true
		fleet.servers[action.Server.Name] = managed
	}
	fleet.busyCount += len(actions)
	return fleet
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
