package control

import (
	"context"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/vm"
)

// PeerLog reads the log as a peer has it.
type PeerLog interface {
	// Since returns log entries after a revision, oldest first and perhaps not all.
	Since(ctx context.Context, peer vm.Member, revision int64) ([]LogEntry, error)
}

// Follow applies the numbered changes of a log in order.
//
// Its revision never falls. It asks a peer when it stands still for a second
// although a higher revision is known, as during an outage of the log.
type Follow struct {
	trail  *rcu.Cell[Trail]
	state  *rcu.Cell[vm.State]
	peers  PeerLog
	random vm.Random
}

const (
	// stallCheck is the time without progress after which a peer is asked.
	stallCheck = time.Second
	// maxPending bounds the log entries that wait for an earlier one; those
	// beyond it are asked for again.
	maxPending = 1024
)

// NewFollow returns a stage that asks the peers in state's membership.
//
// Random is used by one thread only.
func NewFollow(state *rcu.Cell[vm.State], peers PeerLog, random vm.Random) *Follow {
	return &Follow{trail: rcu.New(Trail{}), state: state, peers: peers, random: random}
}

// Revision returns the highest revision applied.
func (follow *Follow) Revision() int64 { return follow.trail.Load().Revision() }

// Since returns the log entries after a revision, for a peer that lags.
func (follow *Follow) Since(revision int64) []LogEntry { return follow.trail.Load().Since(revision) }

// Held returns the number of log entries that are held for peers that lag.
func (follow *Follow) Held() int { return follow.trail.Load().Len() }

// Checkpoint lets go of the log entries before a checkpoint of the revision applied.
func (follow *Follow) Checkpoint(entry LogEntry) {
	follow.trail.Update(func(trail Trail) Trail { return trail.WithCheckpoint(entry) })
}

// Stage passes on log entries in order of their numbers, each at most once.
func (follow *Follow) Stage(group *Group, in <-chan LogEntry) <-chan LogEntry {
	out := make(chan LogEntry)
	group.Go(func(ctx context.Context) error {
		defer close(out)
		return follow.run(ctx, group, in, out)
	})
	return out
}

func (follow *Follow) run(ctx context.Context, group *Group, in <-chan LogEntry, out chan<- LogEntry) error {
	pending := map[int64]LogEntry{}
	answers := make(chan []LogEntry, 1)
	asking := false
	last := int64(-1)
	ticker := time.NewTicker(stallCheck)
	defer ticker.Stop()
	for {
		var entries []LogEntry
		select {
		case <-ctx.Done():
			return nil
		case entry, ok := <-in:
			if !ok {
				return nil
			}
			entries = []LogEntry{entry}
		case entries = <-answers:
			asking = false
		case <-ticker.C:
			revision := follow.Revision()
			if !asking && revision == last && follow.behind(pending) {
				asking = follow.ask(group, revision, answers)
			}
			last = revision
		}
		if !follow.apply(ctx, pending, entries, out) {
			return nil
		}
	}
}

// apply passes on what is next in order and keeps the rest in pending.
func (follow *Follow) apply(ctx context.Context, pending map[int64]LogEntry, entries []LogEntry, out chan<- LogEntry) bool {
	for _, entry := range entries {
		next := follow.Revision() + 1
		if !entry.Checkpoint && (entry.Number == next || entry.Number > next && len(pending) < maxPending) {
			pending[entry.Number] = entry
		}
		if entry.Checkpoint && !follow.advance(ctx, entry, out) {
			return false
		}
	}
	for {
		entry, ok := pending[follow.Revision()+1]
		if !ok {
			break
		}
		if !follow.advance(ctx, entry, out) {
			return false
		}
	}
	for number := range pending {
		if number <= follow.Revision() {
			delete(pending, number)
		}
	}
	return true
}

// advance stores an entry that follows the trail and passes it on; it returns false when ctx ended.
func (follow *Follow) advance(ctx context.Context, entry LogEntry, out chan<- LogEntry) bool {
	_, follows := rcu.Apply(follow.trail, func(trail Trail) (Trail, bool) { return trail.WithEntry(entry) })
	if !follows {
		return true
	}
	follow.state.Update(func(state vm.State) vm.State { return state.WithRevision(entry.Number) })
	return send(ctx, out, entry)
}

func (follow *Follow) behind(pending map[int64]LogEntry) bool {
	return len(pending) > 0 || follow.state.Load().Revision() > follow.Revision()
}

// ask reads from one random peer, whose answer arrives on answers; it returns false without a peer.
func (follow *Follow) ask(group *Group, revision int64, answers chan<- []LogEntry) bool {
	state := follow.state.Load()
	peers := vm.Peers(state.View(), state.Self().Name, follow.random, 1)
	if len(peers) == 0 {
		return false
	}
	group.Go(func(ctx context.Context) error {
		entries, err := follow.peers.Since(ctx, peers[0], revision)
		if err != nil {
			entries = nil // The next check asks another peer.
		}
		answers <- entries
		return nil
	})
	return true
}
