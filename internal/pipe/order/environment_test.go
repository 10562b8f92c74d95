package order_test

import (
	"context"
	"testing"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/membership"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/order"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/engine"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/lease"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/duty"
	pipe "github.com/rosemaryspar/rosemaryspar/internal/pipe/order"
)

// pollInterval is the time between two reads of the targets and between two attempts to
// acquire the lease. It is long because the race detector of Go 1.26.8 crashes after about
// 10,000 timers in synctest bubbles.
const pollInterval = 4 * time.Second

var slot = order.WeightsKey{Model: "m"}

// environment consists of the lease service, the backend servers and a record of their
// changes, in virtual time.
type environment struct {
	leases  *lease.Service
	engines map[string]*engine.Orders
	fencing map[string]config.Fencing
	timing  order.Timing
	changes *rcu.Cell[[]change]
}

// change records that a server accepted a version or, if converged is set, that a leader
// found the server in its desired state. The number is the leader's fencing number.
type change struct {
	server, version string
	number          int64
	converged       bool
}

func newEnvironment() *environment {
	return &environment{
		leases: lease.New(), engines: map[string]*engine.Orders{}, fencing: map[string]config.Fencing{},
		timing: order.DefaultTiming(duty.LeaseTTL), changes: rcu.New[[]change](nil),
	}
}

func (environment *environment) withServer(name string, fencing config.Fencing, refuses bool) *environment {
	environment.engines[name], environment.fencing[name] = engine.NewOrders(refuses), fencing
	return environment
}

func (environment *environment) record(added change) {
	environment.changes.Update(func(all []change) []change { return append(all[:len(all):len(all)], added) })
}

// reverted reports whether an order took effect on the server after a later leader had
// found it in that leader's desired state.
func (environment *environment) reverted(server string) bool {
	highestConverged := int64(0)
	for _, change := range environment.changes.Load() {
		switch {
		case change.server != server:
		case change.converged:
			highestConverged = max(highestConverged, change.number)
		case change.number < highestConverged:
			return true
		}
	}
	return false
}

func (environment *environment) version(server string) string {
	version, _ := environment.engines[server].State().Version(slot)
	return version
}

// candidate is one entry that tries to acquire the lease and sends orders while it is the
// leader, with faults injected into its lease calls and its orders.
type candidate struct {
	*environment
	behaviour *rcu.Cell[behaviour]
	// lastNumber is the fencing number of the candidate's latest lease.
	lastNumber *rcu.Cell[int64]
	// leadership is the candidate's latest lease.
	leadership *rcu.Cell[*duty.Leadership]
}

// behaviour is the version that a candidate orders, and the faults injected into it.
type behaviour struct {
	version string
	// frozenUntil is the time until which lease calls are delayed.
	frozenUntil time.Time
	// pause is the time between the check of the lease and the sending of an order.
	pause time.Duration
	// effectDelay is the time from sending an order until it takes effect.
	effectDelay time.Duration
	// repeats is how often each order is sent again without checking the lease.
	repeats int
	// forgesNumber sends orders with the highest fencing number that the server has
	// accepted, if that is higher than the candidate's own.
	forgesNumber bool
	// losesAnswers drops the answers to orders.
	losesAnswers bool
}

func (environment *environment) newCandidate(version string) *candidate {
	return &candidate{environment: environment, behaviour: rcu.New(behaviour{version: version}), lastNumber: rcu.New(int64(0)), leadership: rcu.New[*duty.Leadership](nil)}
}

func (candidate *candidate) HasOtherLeader() bool { return false }

// run tries to acquire the lease, and sends orders while it holds the lease, until ctx ends.
func (candidate *candidate) run(ctx context.Context) {
	settings := pipe.Settings{Timing: candidate.timing, PollInterval: pollInterval}
	controller := pipe.NewController(settings, candidate, candidate, func(event pipe.Event) {
		if event.Converged {
			candidate.record(change{server: event.Server.Name, number: event.FencingNumber, converged: true})
		}
	})
	work := duty.WorkFunc(func(ctx context.Context, leadership *duty.Leadership) error {
		candidate.lastNumber.Store(leadership.FencingNumber())
		candidate.leadership.Store(leadership)
		return controller.Run(ctx, leadership)
	})
	elector := duty.NewElector(duty.Settings{Duty: "orders", Self: "e", TTL: duty.LeaseTTL}, candidate, candidate, work)
	for ctx.Err() == nil {
		_ = elector.Lead(ctx) // A replaced leader tries to acquire the lease again.
		<-time.After(pollInterval)
	}
}

func (candidate *candidate) View() membership.View {
	return membership.View{}.WithMembers(membership.Member{Origin: membership.Origin{Name: "e"}, Condition: membership.ConditionAlive})
}

func (candidate *candidate) Acquire(ctx context.Context, key string, ttl time.Duration) (duty.Lease, error) {
	candidate.waitWhileFrozen(ctx)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	granted, err := candidate.leases.Acquire(ctx, key, ttl)
	if granted == nil || err != nil {
		return nil, err
	}
	return freezingLease{granted, candidate}, nil
}

// waitWhileFrozen delays a lease call until the candidate is no longer frozen or ctx ends.
func (candidate *candidate) waitWhileFrozen(ctx context.Context) {
	remaining := time.Until(candidate.behaviour.Load().frozenUntil)
	if remaining <= 0 {
		return
	}
	select {
	case <-time.After(remaining):
	case <-ctx.Done():
	}
}

// freezingLease is a lease whose renewals are delayed while the candidate is frozen.
type freezingLease struct {
	duty.Lease
	candidate *candidate
}

func (lease freezingLease) KeepAlive(ctx context.Context) error {
	lease.candidate.waitWhileFrozen(ctx)
	return lease.Lease.KeepAlive(ctx)
}

func (candidate *candidate) Targets() []order.Target {
	desired := order.Desired{Weights: []order.DesiredWeights{{WeightsKey: slot, Version: candidate.behaviour.Load().version}}}
	var targets []order.Target
	for name, fencing := range candidate.fencing {
		targets = append(targets, order.Target{Server: order.Server{Name: name, Fencing: fencing}, Desired: desired})
	}
	return targets
}

func (candidate *candidate) ReadState(_ context.Context, server order.Server) (order.ServerState, error) {
	return candidate.engines[server.Name].State(), nil
}

// SendOrder sends an order after the candidate's pause. It ignores the end of ctx during the
// pause, like a process that is stopped between checking the lease and sending.
func (candidate *candidate) SendOrder(ctx context.Context, server order.Server, fencingNumber int64, newOrder order.Order) (order.Outcome, error) {
	behaviour := candidate.behaviour.Load()
	<-time.After(behaviour.pause)
	for repeat := range behaviour.repeats {
		go func() {
			<-time.After(behaviour.effectDelay + time.Duration(repeat+1)*time.Second)
			candidate.apply(server.Name, fencingNumber, newOrder)
		}()
	}
	accepted := make(chan bool, 1)
	go func() {
		<-time.After(behaviour.effectDelay)
		accepted <- candidate.apply(server.Name, fencingNumber, newOrder)
	}()
	select {
	case <-ctx.Done():
		return order.OutcomeUnknown, ctx.Err()
	case ok := <-accepted:
		switch {
		case behaviour.losesAnswers:
			return order.OutcomeUnknown, lease.ErrUnavailable
		case !ok:
			return order.OutcomeStale, pipe.ErrStale
		}
		return order.OutcomeDone, nil
	}
}

func (candidate *candidate) apply(server string, fencingNumber int64, newOrder order.Order) bool {
	sentNumber := fencingNumber
	if candidate.behaviour.Load().forgesNumber {
		sentNumber = max(fencingNumber, candidate.engines[server].State().FencingNumber)
	}
	accepted := candidate.engines[server].Apply(sentNumber, newOrder)
	if accepted && newOrder.Kind == order.KindLoad {
		candidate.record(change{server: server, version: newOrder.Version, number: fencingNumber})
	}
	return accepted
}

// runCandidates runs the candidates until script returns, and then stops them.
func (environment *environment) runCandidates(t *testing.T, candidates []*candidate, script func()) {
	ctx, cancel := context.WithCancel(t.Context())
	for _, candidate := range candidates {
		go candidate.run(ctx)
		<-time.After(time.Second)
	}
	script()
	cancel()
	<-time.After(time.Hour) // All pauses and delayed orders have to end before the synctest bubble can end.
}
