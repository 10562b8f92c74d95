package control

import (
	"context"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/membership"
)

// PeerLog reads the log as a peer has it.
type PeerLog interface {
	// Since returns log entries after a revision, oldest first and perhaps not all.
	Since(ctx context.Context, peer membership.Member, revision int64) ([]LogEntry, error)
}

// LogFollower applies the numbered changes of a log in order.
//
// Its revision never falls. It asks a peer when it stands still for a second
// although a higher revision is known, as during an outage of the log.
type LogFollower struct {
	tail  *rcu.Cell[LogTail]
	state  *rcu.Cell[membership.State]
	peers  PeerLog
	random membership.Random
}

const (
	// stallCheckInterval is the time without progress after which a peer is asked.
	stallCheckInterval = time.Second
	// maxPending bounds the log entries that wait for an earlier one; those
	// beyond it are asked for again.
	maxPending = 1024
)

// NewLogFollower returns a stage that asks the peers in state's membership.
//
// Random is used by one thread only.
func NewLogFollower(state *rcu.Cell[membership.State], peers PeerLog, random membership.Random) *LogFollower {
	return &LogFollower{tail: rcu.New(LogTail{}), state: state, peers: peers, random: random}
}

// Revision returns the highest revision applied.
func (logFollower *LogFollower) Revision() int64 { return logFollower.tail.Load().Revision() }

// Since returns the log entries after a revision, for a peer that lags.
func (logFollower *LogFollower) Since(revision int64) []LogEntry {
	return logFollower.tail.Load().Since(revision)
}

// RetainedEntries returns the number of log entries that are held for peers that lag.
func (logFollower *LogFollower) RetainedEntries() int { return logFollower.tail.Load().Len() }

// Compact lets go of the log entries before a checkpoint of the revision applied.
func (logFollower *LogFollower) Compact(entry LogEntry) {
	logFollower.tail.Update(func(trail LogTail) LogTail { return trail.WithCheckpoint(entry) })
}

// Stage passes on log entries in order of their numbers, each at most once.
func (logFollower *LogFollower) Stage(group *Group, in <-chan LogEntry) <-chan LogEntry {
	out := make(chan LogEntry)
	group.Go(func(ctx context.Context) error {
		defer close(out)
		return logFollower.run(ctx, group, in, out)
	})
	return out
}

func (logFollower *LogFollower) run(ctx context.Context, group *Group, in <-chan LogEntry, out chan<- LogEntry) error {
	pending := map[int64]LogEntry{}
	answers := make(chan []LogEntry, 1)
	asking := false
	last := int64(-1)
	ticker := time.NewTicker(stallCheckInterval)
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
			revision := logFollower.Revision()
			if !asking && revision == last && logFollower.isBehind(pending) {
				asking = logFollower.requestFromPeer(group, revision, answers)
			}
			last = revision
		}
		if !logFollower.apply(ctx, pending, entries, out) {
			return nil
		}
	}
}

// apply passes on what is next in order and keeps the rest in pending.
func (logFollower *LogFollower) apply(ctx context.Context, pending map[int64]LogEntry, entries []LogEntry, out chan<- LogEntry) bool {
	for _, entry := range entries {
		next := logFollower.Revision() + 1
		if !entry.Checkpoint && (entry.Number == next || entry.Number > next && len(pending) < maxPending) {
			pending[entry.Number] = entry
		}
		if entry.Checkpoint && !logFollower.advance(ctx, entry, out) {
			return false
		}
	}
	for {
		entry, ok := pending[logFollower.Revision()+1]
		if !ok {
			break
		}
		if !logFollower.advance(ctx, entry, out) {
			return false
		}
	}
	for number := range pending {
		if number <= logFollower.Revision() {
			delete(pending, number)
		}
	}
	return true
}

// advance stores an entry that follows the trail and passes it on; it returns false when ctx ended.
func (logFollower *LogFollower) advance(ctx context.Context, entry LogEntry, out chan<- LogEntry) bool {
	_, follows := rcu.Apply(logFollower.tail, func(trail LogTail) (LogTail, bool) { return trail.WithEntry(entry) })
	if !follows {
		return true
	}
	logFollower.state.Update(func(state membership.State) membership.State { return state.WithRevision(entry.Number) })
	return send(ctx, out, entry)
}

func (logFollower *LogFollower) isBehind(pending map[int64]LogEntry) bool {
	return len(pending) > 0 || logFollower.state.Load().Revision() > logFollower.Revision()
}

// requestFromPeer reads from one random peer, whose answer arrives on answers; it returns false without a peer.
func (logFollower *LogFollower) requestFromPeer(group *Group, revision int64, answers chan<- []LogEntry) bool {
	state := logFollower.state.Load()
	peers := membership.RandomPeers(state.View(), state.Self().Name, logFollower.random, 1)
	if len(peers) == 0 {
		return false
	}
	group.Go(func(ctx context.Context) error {
		entries, err := logFollower.peers.Since(ctx, peers[0], revision)
		if err != nil {
			entries = nil // The next check asks another peer.
		}
		answers <- entries
		return nil
	})
	return true
}
