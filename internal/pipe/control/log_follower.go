package control

import (
	"context"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/membership"
)

// PeerLog reads the copies of the log that peers hold.
type PeerLog interface {
	// Since returns log entries of the peer after a revision, oldest first. It may return
	// only the first of them.
	Since(ctx context.Context, peer membership.Member, revision int64) ([]LogEntry, error)
}

// LogFollower passes on the numbered changes of a log in order.
//
// Its revision never decreases. It requests missing log entries from a peer if its
// revision has not increased for a second although later entries exist, for example
// during an outage of the log.
type LogFollower struct {
	tail   *rcu.Cell[LogTail]
	state  *rcu.Cell[membership.State]
	peers  PeerLog
	random membership.Random
}

const (
	// stallCheckInterval is the time without progress after which missing log entries are
	// requested from a peer.
	stallCheckInterval = time.Second
	// maxPending is the maximum number of log entries that wait for an earlier one to
	// arrive. Further entries are dropped and requested again from a peer.
	maxPending = 1024
)

// NewLogFollower returns a follower that requests missing log entries from the peers in
// the membership of state.
//
// It uses random from one goroutine only.
func NewLogFollower(state *rcu.Cell[membership.State], peers PeerLog, random membership.Random) *LogFollower {
	return &LogFollower{tail: rcu.New(LogTail{}), state: state, peers: peers, random: random}
}

// Revision returns the revision of the latest log entry in order, 0 for none.
func (logFollower *LogFollower) Revision() int64 { return logFollower.tail.Load().Revision() }

// Since returns the retained log entries after a revision, for a peer that lags behind.
func (logFollower *LogFollower) Since(revision int64) []LogEntry {
	return logFollower.tail.Load().Since(revision)
}

// RetainedEntries returns the number of log entries retained for peers that lag behind.
func (logFollower *LogFollower) RetainedEntries() int { return logFollower.tail.Load().Len() }

// Compact replaces the retained log entries by a checkpoint of the current revision.
//
// A checkpoint of any other revision changes nothing.
func (logFollower *LogFollower) Compact(entry LogEntry) {
	logFollower.tail.Update(func(tail LogTail) LogTail { return tail.WithCheckpoint(entry) })
}

// Stage starts a stage that passes on log entries in order of their numbers, each at most once.
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
	responses := make(chan []LogEntry, 1)
	requesting := false
	lastRevision := int64(-1)
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
		case entries = <-responses:
			requesting = false
		case <-ticker.C:
			revision := logFollower.Revision()
			if !requesting && revision == lastRevision && logFollower.isBehind(pending) {
				requesting = logFollower.requestFromPeer(group, revision, responses)
			}
			lastRevision = revision
		}
		if !logFollower.apply(ctx, pending, entries, out) {
			return nil
		}
	}
}

// apply passes on the log entries that are next in order and keeps later ones in pending;
// it returns false if ctx ended.
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

// advance appends a log entry to the tail and passes it on if it follows the tail, and
// ignores it otherwise; it returns false if ctx ended.
func (logFollower *LogFollower) advance(ctx context.Context, entry LogEntry, out chan<- LogEntry) bool {
	_, follows := rcu.Apply(logFollower.tail, func(tail LogTail) (LogTail, bool) { return tail.WithEntry(entry) })
	if !follows {
		return true
	}
	logFollower.state.Update(func(state membership.State) membership.State { return state.WithRevision(entry.Number) })
	return send(ctx, out, entry)
}

// isBehind reports whether log entries are missing: later ones are pending, or the
// membership state contains a higher revision.
func (logFollower *LogFollower) isBehind(pending map[int64]LogEntry) bool {
	return len(pending) > 0 || logFollower.state.Load().Revision() > logFollower.Revision()
}

// requestFromPeer requests the log entries after a revision from one random peer. They
// arrive on responses, none after an error. It returns false if there is no peer.
func (logFollower *LogFollower) requestFromPeer(group *Group, revision int64, responses chan<- []LogEntry) bool {
	state := logFollower.state.Load()
	peers := membership.RandomPeers(state.View(), state.Self().Name, logFollower.random, 1)
	if len(peers) == 0 {
		return false
	}
	group.Go(func(ctx context.Context) error {
		entries, err := logFollower.peers.Since(ctx, peers[0], revision)
		if err != nil {
			entries = nil // The next check chooses a random peer again.
		}
		responses <- entries
		return nil
	})
	return true
}
