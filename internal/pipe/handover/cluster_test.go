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

// oneWayLatency is the one-way latency between the failure domains of the simulated deployment.
const oneWayLatency = time.Millisecond

// cluster is a set of entries in three failure domains in front of the same runners.
type cluster struct {
	t       *testing.T
	set     config.Set
	fleet   backend.Fleet
	runners runner.Runners
	members *rcu.Cell[membership.View]
	entries []*entry
	// holdFault decides the result of each call of Hold when it arrives at the peer; a nil
	// error means a normal call, and a nil function for no faults.
	holdFault func(ctx context.Context, peer *entry, state decide.State) error
	// running counts the calls in progress at runners; its keys are "request id@entry name".
	running *rcu.Cell[map[string]int]
	// draws is the number of calls of IntN so far.
	draws atomic.Uint64
	// replicate is an additional filter that is placed after the handover, nil for none.
	replicate request.Filter
	// heldStates is the number of times that a peer stored a state.
	heldStates atomic.Int64
}

// entry is one entry of the cluster.
type entry struct {
	cluster  *cluster
	name     string
	gate     *request.Gate
	handover *handover.Handover
	handler  request.Handler
	dead     atomic.Bool
}

func newCluster(t *testing.T) *cluster { return newReplicatedCluster(t, nil) }

// newReplicatedCluster returns a cluster whose entries have the filter that replicate returns
// after the handover.
func newReplicatedCluster(t *testing.T, replicate func(*cluster) request.Filter) *cluster {
	cluster := &cluster{t: t, runners: runner.Runners{}, members: rcu.New(membership.View{}), running: rcu.New(map[string]int{})}
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
		cluster.runners[name] = runner.New(runner.Settings{
			Name: name, Slots: 8, PromptToken: time.Millisecond, AnswerToken: 20 * time.Millisecond,
			Operation: 10 * time.Second, ChunkTokens: 4,
			// Without a prefix cache, reading a prompt never takes zero time. Zero-length
			// timers that expire in several goroutines of a synctest bubble at the same
			// time crash the race detector of Go 1.26.8, because they share the bubble's
			// only race context.
			CachePrompts: 0,
		})
		change.Backends = append(change.Backends, config.Backend{Name: name, Address: name, Slots: 8})
	}
	cluster.set = config.Set{}.WithChange(change)
	var err error
	cluster.fleet, err = backend.NewFleet(cluster.set, backend.Departures{}, backend.Fleet{})
	require.NoError(t, err)
	if replicate != nil {
		cluster.replicate = replicate(cluster)
	}
	for i := range 6 {
		member := membership.Member{
			Origin:    membership.Origin{Name: fmt.Sprintf("entry-%d", i)},
			Profile:   membership.Profile{Domain: []string{"Shah Alam", "Petaling", "Cheras"}[i%3]},
			Condition: membership.ConditionAlive,
		}
		cluster.members.Update(func(view membership.View) membership.View { return view.WithMembers(member) })
		cluster.entries = append(cluster.entries, cluster.newEntry(member))
	}
	return cluster
}

func (cluster *cluster) newEntry(member membership.Member) *entry {
	entry := &entry{cluster: cluster, name: member.Name, gate: request.NewGate()}
	entry.handover = handover.New(member, membershipSource{cluster}, cluster)
	retryStates := request.NewRetryStates()
	entry.handler = request.Chain(request.Dispatch(entry, entry),
		entry.gate.Filter(),
		request.Identify(cluster),
		entry.handover.Filter(),
		func(next request.Handler) request.Handler {
			if cluster.replicate == nil {
				return next
			}
			return cluster.replicate(next)
		},
		request.Retry(retryStates, cluster, cluster, retry.PolicyResume),
		request.Hedge(retryStates),
		request.Choose(cluster),
		request.Relay(retryStates))
	return entry
}

// leave shuts down an entry with a notice of 5 s, of which the last 2 s are for the handover.
func (cluster *cluster) leave(ctx context.Context, entry *entry) {
	member, _ := cluster.members.Load().Member(entry.name)
	cluster.members.Update(func(view membership.View) membership.View { return view.WithMembers(member.WithLeaving()) })
	entry.handover.Leave(ctx, 3*time.Second)
	select {
	case <-entry.gate.Close():
	case <-time.After(2 * time.Second):
		assert.Fail(cluster.t, "requests are still in progress at the end of the notice", entry.name)
	}
	entry.dead.Store(true)
}

// entryNamed returns the entry with that name, or nil.
func (cluster *cluster) entryNamed(name string) *entry {
	for _, entry := range cluster.entries {
		if entry.name == name {
			return entry
		}
	}
	return nil
}

// View returns the snapshots that requests use.
func (cluster *cluster) View() request.View {
	return request.View{Config: cluster.set, Fleet: cluster.fleet}
}

// IntN returns successive numbers modulo n, so that the choice of servers is the same in every run.
func (cluster *cluster) IntN(n int) int { return int(cluster.draws.Add(1) % uint64(n)) }

func (entry *entry) Complete(ctx context.Context, server backend.Server, sent call.Request, sink request.Sink) error {
	cluster := entry.cluster
	cluster.addRunning(sent.ID, entry.name, 1)
	defer cluster.addRunning(sent.ID, entry.name, -1)
	for key, count := range cluster.running.Load() {
		if count > 0 && key != sent.ID+"@"+entry.name && key[:len(sent.ID)+1] == sent.ID+"@" {
			assert.Fail(cluster.t, "a completion runs at two entries at the same time", key)
		}
	}
	return cluster.runners.Complete(ctx, server, sent, sink)
}

func (entry *entry) Do(ctx context.Context, server backend.Server, sent call.Request) (call.Answer, error) {
	return entry.cluster.runners.Do(ctx, server, sent)
}

func (cluster *cluster) addRunning(id, entry string, change int) {
	cluster.running.Update(func(running map[string]int) map[string]int {
		next := maps.Clone(running)
		next[id+"@"+entry] += change
		return next
	})
}

// sleep waits in virtual time.
func sleep(duration time.Duration) { <-time.After(duration) }

var errConnectionReset = errors.New("connection reset")

// membershipSource provides the membership view to the handover. It is a separate type
// because cluster already has a method View for the snapshots of requests.
type membershipSource struct{ *cluster }

func (membershipSource membershipSource) View() membership.View {
	return membershipSource.members.Load()
}

func (cluster *cluster) Hold(ctx context.Context, peer membership.Member, state decide.State) error {
	entry := cluster.entryNamed(peer.Name)
	sleep(oneWayLatency)
	if entry.dead.Load() {
		return errConnectionReset
	}
	if cluster.holdFault != nil {
		if err := cluster.holdFault(ctx, entry, state); err != nil {
			return err
		}
	}
	if entry.handover.Holder().Hold(state) != decide.VerdictHeld {
		return handover.ErrNotHeld
	}
	cluster.heldStates.Add(1)
	sleep(oneWayLatency)
	return nil
}

func (cluster *cluster) Take(_ context.Context, peer membership.Member, query decide.Query) (decide.State, decide.Verdict, error) {
	entry := cluster.entryNamed(peer.Name)
	sleep(oneWayLatency)
	if entry.dead.Load() {
		return decide.State{}, decide.VerdictMissing, errConnectionReset
	}
	state, verdict := entry.handover.Holder().Take(query)
	sleep(oneWayLatency)
	return state, verdict, nil
}
