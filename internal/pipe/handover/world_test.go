package handover_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	decide "github.com/rosemaryspar/rosemaryspar/internal/decide/handover"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/membership"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/retry"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/runner"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/handover"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// oneWay is the latency between failure domains in the catering deployment.
const oneWay = time.Millisecond

// world is entries in three failure domains in front of the same runners.
type world struct {
	t       *testing.T
	set     config.Set
	fleet   backend.Fleet
	group   runner.Runners
	members *rcu.Cell[membership.View]
	entries []*entry
	// hold decides on a call of Hold after its way to the peer, nil for no fault.
	hold func(ctx context.Context, peer *entry, state decide.State) error
	// running counts, by request id and entry, the calls at runners.
	running *rcu.Cell[map[string]int]
	count   atomic.Uint64
	// replicate stands after the handover, nil for none.
	replicate request.Filter
	// handed is the number of states that peers took in.
	handed atomic.Int64
}

// entry is one entry of the world.
type entry struct {
	world    *world
	name     string
	gate     *request.Gate
	handover *handover.Handover
	handler  request.Handler
	dead     atomic.Bool
}

func newWorld(t *testing.T) *world { return newReplicatedWorld(t, nil) }

// newReplicatedWorld returns a world whose entries have one more filter after the handover.
func newReplicatedWorld(t *testing.T, replicate func(*world) request.Filter) *world {
	world := &world{t: t, group: runner.Runners{}, members: rcu.New(membership.View{}), running: rcu.New(map[string]int{})}
	change := config.Change{
		Revision: 1,
		Accounts: []config.Account{{Name: "desk", KeyHash: "h", Weight: 1}, {Name: "kitchen", KeyHash: "o", Weight: 1}},
		Services: []config.Service{
			{Name: "menu", Protocol: config.ProtocolEngine, TimeoutMs: 60_000},
			{Name: "booking", Protocol: config.ProtocolPlain, Repeat: config.RepeatNever, TimeoutMs: 20_000},
		},
	}
	for i := range 12 {
		name := fmt.Sprintf("runner-%02d", i)
		world.group[name] = runner.New(runner.Settings{
			Name: name, Slots: 8, PromptToken: time.Millisecond, AnswerToken: 20 * time.Millisecond,
			Operation: 10 * time.Second, ChunkTokens: 4,
			// Without a prefix cache no prompt takes zero time: timers of zero length
			// that expire in several goroutines of a bubble at once crash the race
			// detector of Go 1.26.8 (they share the bubble's one race context).
			CachePrompts: 0,
		})
		change.Backends = append(change.Backends, config.Backend{Name: name, Address: name, Slots: 8})
	}
	world.set = config.Set{}.WithChange(change)
	var err error
	world.fleet, err = backend.NewFleet(world.set, backend.Departures{}, backend.Fleet{})
	require.NoError(t, err)
	if replicate != nil {
		world.replicate = replicate(world)
	}
	for i := range 6 {
		member := membership.Member{
			Origin:    membership.Origin{Name: fmt.Sprintf("entry-%d", i)},
			Profile:   membership.Profile{Domain: []string{"Shah Alam", "Petaling", "Cheras"}[i%3]},
			Condition: membership.ConditionAlive,
		}
		world.members.Update(func(view membership.View) membership.View { return view.WithMembers(member) })
		world.entries = append(world.entries, world.newEntry(member))
	}
	return world
}

func (world *world) newEntry(member membership.Member) *entry {
	entry := &entry{world: world, name: member.Name, gate: request.NewGate()}
	entry.handover = handover.New(member, wireView{world}, world)
	recovery := request.NewRetryStates()
	entry.handler = request.Chain(request.Dispatch(entry, entry),
		entry.gate.Filter(),
		request.Identify(world),
		entry.handover.Filter(),
		func(next request.Handler) request.Handler {
			if world.replicate == nil {
				return next
			}
			return world.replicate(next)
		},
		request.Retry(recovery, world, world, retry.PolicyResume),
		request.Hedge(recovery),
		request.Choose(world),
		request.Relay(recovery))
	return entry
}

// leave lets an entry go with a notice of 5 s, of which the last 2 s are for the handover.
func (world *world) leave(ctx context.Context, entry *entry) {
	member, _ := world.members.Load().Member(entry.name)
	world.members.Update(func(view membership.View) membership.View { return view.WithMembers(member.WithLeaving()) })
	entry.handover.Leave(ctx, 3*time.Second)
	select {
	case <-entry.gate.Close():
	case <-time.After(2 * time.Second):
		assert.Fail(world.t, "requests hang past the end of the notice", entry.name)
	}
	entry.dead.Store(true)
}

// by returns the entry of that name.
func (world *world) by(name string) *entry {
	for _, entry := range world.entries {
		if entry.name == name {
			return entry
		}
	}
	return nil
}

// View returns the snapshots of requests.
func (world *world) View() request.View {
	return request.View{Config: world.set, Fleet: world.fleet}
}

// IntN counts up, so that the choice of servers is the same on every run.
func (world *world) IntN(n int) int { return int(world.count.Add(1) % uint64(n)) }

func (entry *entry) Complete(ctx context.Context, server backend.Server, next call.Request, sink request.Sink) error {
	world := entry.world
	world.run(next.ID, entry.name, 1)
	defer world.run(next.ID, entry.name, -1)
	for key, count := range world.running.Load() {
		if count > 0 && key != next.ID+"@"+entry.name && key[:len(next.ID)+1] == next.ID+"@" {
			assert.Fail(world.t, "a completion runs at two entries", key)
		}
	}
	return world.group.Complete(ctx, server, next, sink)
}

func (entry *entry) Do(ctx context.Context, server backend.Server, next call.Request) (call.Answer, error) {
	return entry.world.group.Do(ctx, server, next)
}

func (world *world) run(id, entry string, change int) {
	world.running.Update(func(running map[string]int) map[string]int {
		next := maps.Clone(running)
		next[id+"@"+entry] += change
		return next
	})
}

// pause waits in virtual time.
func pause(duration time.Duration) { <-time.After(duration) }

var errGone = errors.New("connection reset")

// wireView gives the membership to the handover, whose method has the name of the snapshots' one.
type wireView struct{ *world }

func (view wireView) View() membership.View { return view.members.Load() }

func (world *world) Hold(ctx context.Context, peer membership.Member, state decide.State) error {
	entry := world.by(peer.Name)
	pause(oneWay)
	if entry.dead.Load() {
		return errGone
	}
	if world.hold != nil {
		if err := world.hold(ctx, entry, state); err != nil {
			return err
		}
	}
	if entry.handover.Holder().Hold(state) != decide.VerdictHeld {
		return handover.ErrNotHeld
	}
	world.handed.Add(1)
	pause(oneWay)
	return nil
}

func (world *world) Take(_ context.Context, peer membership.Member, query decide.Query) (decide.State, decide.Verdict, error) {
	entry := world.by(peer.Name)
	pause(oneWay)
	if entry.dead.Load() {
		return decide.State{}, decide.VerdictMissing, errGone
	}
	state, verdict := entry.handover.Holder().Take(query)
	pause(oneWay)
	return state, verdict, nil
}
