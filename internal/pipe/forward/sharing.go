package forward

import (
	"math/rand/v2"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/route"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/sharing"
)

// Sharing rejects calls by account and priority while the servers of a service cannot do all the work, separately for each
// service whose calls differ in their priority. It is safe for concurrent use. A nil one admits all calls.
type Sharing struct {
	clock  Clock
	states rcu.Cells[string, sharing.State]
	// scopes are those of the services whose calls differ in their priority, by service.
	scopes *rcu.Cell[map[string]sharing.Scope]
	// version is that of the configuration of the scopes. Only [Sharing.Update] uses it.
	version int64
}

// NewSharing returns a sharing that has seen no calls.
func NewSharing(clock Clock) *Sharing {
	return &Sharing{clock: clock, states: rcu.NewCells[string, sharing.State](), scopes: rcu.New(map[string]sharing.Scope{}), version: -1}
}

// Update makes new plans by the configuration, the servers and the figures of all other entries. It is called by one thread.
func (shares *Sharing) Update(table route.Table, servers directory.Servers, figures map[uint32]float64) {
	if !table.Loaded() {
		return
	}
	if table.Version() != shares.version {
		shares.version = table.Version()
		shares.scopes.Store(sharing.Scopes(table))
	}
	scopes, now := shares.scopes.Load(), shares.clock.Now()
	shares.states.Drop(func(service string, _ sharing.State) bool { return scopes[service].Classes == nil })
	for service, scope := range scopes {
		slots := 0
		for _, server := range servers.OfService(service) {
			slots += server.Slots
		}
		shares.states.GetOrCreate(service, sharing.State{}).Update(func(state sharing.State) sharing.State {
			return state.WithOthers(service, figures, scope, slots, now)
		})
	}
}

// Figures returns what the other entries need to know of the calls of this one, nil if no calls differ in their priority.
func (shares *Sharing) Figures() map[uint32]float64 {
	var figures map[uint32]float64
	for service, cell := range shares.states.All() {
		if figures == nil {
			figures = map[uint32]float64{}
		}
		cell.Load().Figures(service, shares.clock.Now(), figures)
	}
	return figures
}

// Admit returns the call as one whose work is measured, nil if the calls of the service do not differ in their priority, or a
// refusal.
func (shares *Sharing) Admit(service string, class sharing.Class, work float64, timeLeft time.Duration) (*SharedCall, *call.Refusal) {
	if shares == nil {
		return nil, nil
	}
	classes := shares.scopes.Load()[service].Classes
	if classes == nil {
		return nil, nil
	}
	now, cell := shares.clock.Now(), shares.states.GetOrCreate(service, sharing.State{})
	state := cell.Update(func(state sharing.State) sharing.State { return state.WithAsked(class, work, now) })
	shared := &SharedCall{clock: shares.clock, cell: cell, state: state, classes: classes, class: class, work: work}
	if part := state.Plan().Part(class); rand.Float64() >= part {
		asked, capacity := state.Plan().Work()
		const detail = "service %s lacks capacity, %.2f of its slots are taken, and work of %.0f a second is asked for of %.0f: " +
			"admits %.2f of the calls of account %q with priority %d"
		refusal := call.Refuse(call.ReasonQueueFull, detail, service, state.Load(), asked, capacity, part, class.Account, class.Priority)
		return nil, shared.withRetryAfter(refusal, timeLeft)
	}
	return shared, nil
}

// SharedCall is a call whose work is measured. One thread uses it; nil stands for a call that is not subject to sharing.
type SharedCall struct {
	clock Clock
	cell  *rcu.Cell[sharing.State]
	// state is the one by which the call was admitted.
	state sharing.State
	// classes are those of the service, the highest priority first.
	classes  []sharing.Class
	class    sharing.Class
	work     float64
	answered bool
}

// hasRoom reports whether the call must not be rejected, since the servers have room.
func (shared *SharedCall) hasRoom() bool { return shared != nil && shared.state.HasRoom() }

// lowerPriority returns how low the priority of the call is among those of its service, from 0 to 1.
func (shared *SharedCall) lowerPriority() float64 {
	if shared == nil {
		return 0
	}
	highest, lowest := shared.classes[0].Priority, shared.classes[len(shared.classes)-1].Priority
	return float64(shared.class.Priority-highest) / float64(max(1, lowest-highest))
}

// withRetryAfter returns the refusal of the call with a time that keeps the order of the priorities.
func (shared *SharedCall) withRetryAfter(refusal *call.Refusal, timeLeft time.Duration) *call.Refusal {
	if shared == nil {
		return refusal
	}
	return refusal.WithRetryAfter(shared.state.Plan().RetryAfter(shared.class, timeLeft, rand.Float64()))
}

// started records that the call was admitted, and returns it.
func (shared *SharedCall) started() *SharedCall {
	if shared != nil {
		shared.cell.Update(sharing.State.WithStart)
	}
	return shared
}

// setAnswered records that the answer has begun.
func (shared *SharedCall) setAnswered() {
	if shared != nil {
		shared.answered = true
	}
}

// end records that the call has ended. It must be called once.
func (shared *SharedCall) end() {
	if shared == nil {
		return
	}
	now := shared.clock.Now()
	shared.cell.Update(func(state sharing.State) sharing.State { return state.WithEnd(shared.work, shared.answered, now) })
}
