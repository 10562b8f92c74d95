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

// look is the time between two looks at the targets and at the lease. It is long
// since the race detector of Go 1.26.8 crashes after some 10,000 timers of bubbles.
const look = 4 * time.Second

var slot = order.WeightsKey{Model: "m"}

// world is the key-value service, the backend servers, and what happened, in virtual time.
type world struct {
	leases  *lease.Service
	engines map[string]*engine.Orders
	fencing map[string]config.Fencing
	timing  order.Timing
	changes *rcu.Cell[[]change]
}

// change is a version that a server took, or that a holder saw settled.
type change struct {
	server, version string
	number          int64
	settled         bool
}

func newWorld() *world {
	return &world{
		leases: lease.New(), engines: map[string]*engine.Orders{}, fencing: map[string]config.Fencing{},
		timing: order.DefaultTiming(duty.LeaseTTL), changes: rcu.New[[]change](nil),
	}
}

func (world *world) withServer(name string, fencing config.Fencing, refuses bool) *world {
	world.engines[name], world.fencing[name] = engine.NewOrders(refuses), fencing
	return world
}

func (world *world) record(next change) {
	world.changes.Update(func(all []change) []change { return append(all[:len(all):len(all)], next) })
}

// reverted returns a server on which an order took effect after a later holder had settled it.
func (world *world) reverted(server string) bool {
	settled := int64(0)
	for _, change := range world.changes.Load() {
		switch {
		case change.server != server:
		case change.settled:
			settled = max(settled, change.number)
		case change.number < settled:
			return true
		}
	}
	return false
}

func (world *world) version(server string) string {
	version, _ := world.engines[server].State().Version(slot)
	return version
}

// holder is one entry: its lease calls and its orders pass through its pauses.
type holder struct {
	*world
	conduct *rcu.Cell[conduct]
	// newest is the holder's latest fencing number.
	newest *rcu.Cell[int64]
	// holding is the latest one.
	holding *rcu.Cell[*duty.Leadership]
}

// conduct is what a holder wants, and what goes wrong at it from now on.
type conduct struct {
	version string
	// frozen is until when calls of the lease wait.
	frozen time.Time
	// pause is the time between the check of the lease and the sending of an order.
	pause time.Duration
	// late is the time after which an order takes effect.
	late time.Duration
	// insists repeats each order without a look at the lease.
	insists int
	// forges sends orders under the newest number instead of the holder's own.
	forges bool
	// lose loses the answers.
	lose bool
}

func (world *world) newHolder(version string) *holder {
	return &holder{world: world, conduct: rcu.New(conduct{version: version}), newest: rcu.New(int64(0)), holding: rcu.New[*duty.Leadership](nil)}
}

func (holder *holder) HasOtherLeader() bool { return false }

// run holds the duty whenever it is free until ctx ends.
func (holder *holder) run(ctx context.Context) {
	settings := pipe.Settings{Timing: holder.timing, PollInterval: look}
	controller := pipe.NewController(settings, holder, holder, func(event pipe.Event) {
		if event.Converged {
			holder.record(change{server: event.Server.Name, number: event.FencingNumber, settled: true})
		}
	})
	work := duty.WorkFunc(func(ctx context.Context, holding *duty.Leadership) error {
		holder.newest.Store(holding.FencingNumber())
		holder.holding.Store(holding)
		return controller.Run(ctx, holding)
	})
	keeper := duty.NewElector(duty.Settings{Duty: "orders", Self: "e", TTL: duty.LeaseTTL}, holder, holder, work)
	for ctx.Err() == nil {
		_ = keeper.Lead(ctx) // A holder that is replaced tries again.
		<-time.After(look)
	}
}

func (holder *holder) View() membership.View {
	return membership.View{}.WithMembers(membership.Member{Origin: membership.Origin{Name: "e"}, Condition: membership.ConditionAlive})
}

func (holder *holder) Acquire(ctx context.Context, key string, ttl time.Duration) (duty.Lease, error) {
	holder.freeze(ctx)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	granted, err := holder.leases.Acquire(ctx, key, ttl)
	if granted == nil || err != nil {
		return nil, err
	}
	return slowLease{granted, holder}, nil
}

func (holder *holder) freeze(ctx context.Context) {
	frozen := time.Until(holder.conduct.Load().frozen)
	if frozen <= 0 {
		return
	}
	select {
	case <-time.After(frozen):
	case <-ctx.Done():
	}
}

type slowLease struct {
	duty.Lease
	holder *holder
}

func (lease slowLease) KeepAlive(ctx context.Context) error {
	lease.holder.freeze(ctx)
	return lease.Lease.KeepAlive(ctx)
}

func (holder *holder) Targets() []order.Target {
	desired := order.Desired{Weights: []order.DesiredWeights{{WeightsKey: slot, Version: holder.conduct.Load().version}}}
	var targets []order.Target
	for name, fencing := range holder.fencing {
		targets = append(targets, order.Target{Server: order.Server{Name: name, Fencing: fencing}, Desired: desired})
	}
	return targets
}

func (holder *holder) ReadState(_ context.Context, server order.Server) (order.ServerState, error) {
	return holder.engines[server.Name].State(), nil
}

// SendOrder does not notice the end of ctx while the holder is paused.
func (holder *holder) SendOrder(ctx context.Context, server order.Server, number int64, next order.Order) (order.Outcome, error) {
	conduct := holder.conduct.Load()
	<-time.After(conduct.pause)
	for repeat := range conduct.insists {
		go func() {
			<-time.After(conduct.late + time.Duration(repeat+1)*time.Second)
			holder.apply(server.Name, number, next)
		}()
	}
	accepted := make(chan bool, 1)
	go func() {
		<-time.After(conduct.late)
		accepted <- holder.apply(server.Name, number, next)
	}()
	select {
	case <-ctx.Done():
		return order.OutcomeUnknown, ctx.Err()
	case ok := <-accepted:
		switch {
		case conduct.lose:
			return order.OutcomeUnknown, lease.ErrOut
		case !ok:
			return order.OutcomeStale, pipe.ErrStale
		}
		return order.OutcomeDone, nil
	}
}

func (holder *holder) apply(server string, number int64, next order.Order) bool {
	sent := number
	if holder.conduct.Load().forges {
		sent = max(number, holder.engines[server].State().FencingNumber)
	}
	accepted := holder.engines[server].Apply(sent, next)
	if accepted && next.Kind == order.KindLoad {
		holder.record(change{server: server, version: next.Version, number: number})
	}
	return accepted
}

// during runs holders while script runs, and ends them.
func (world *world) during(t *testing.T, holders []*holder, script func()) {
	ctx, cancel := context.WithCancel(t.Context())
	for _, holder := range holders {
		go holder.run(ctx)
		<-time.After(time.Second)
	}
	script()
	cancel()
	<-time.After(time.Hour) // Pauses and late orders end, so that the bubble can.
}
