package directory

import (
	"slices"
	"time"
)

const (
	// outageGap is the age of the latest list above which failed reads show an outage of the store, and not a rejected call.
	outageGap = 1500 * time.Millisecond
	// reregistrationGrace is the time after an outage for which servers that are not listed are kept,
	// so that servers whose registrations expired during the outage can register again. A read that failed longer ago says nothing about them.
	reregistrationGrace = 2 * time.Second
	// restoreGrace is the same time after the store was restored from a backup. Servers learn of a restore with their next renewal
	// only, and all of them register anew.
	restoreGrace = 5 * time.Second
)

// Retention keeps servers whose registrations expired during an outage of the store. It is immutable.
//
// An entry that reads the store applies it before it shares the list. An entry that receives the list cannot:
// to it, a delayed message looks the same as an outage. A time without reads alone is no outage either: the entries
// that read may have been lost, and the servers that left meanwhile must not be kept.
type Retention struct {
	// failedAt is the time of the last read that failed, 0 for none, and inOutage whether the latest list was older than outageGap
	// then.
	failedAt time.Duration
	inOutage bool
	// until is the time until which servers that are not listed are kept.
	until time.Duration
}

// WithFailedRead returns the retention after a read of the store failed. The previous list is the latest that the entry has,
// whichever entry read it.
func (retention Retention) WithFailedRead(previous Snapshot[[]Server], now time.Duration) Retention {
	retention.failedAt = now
	retention.inOutage = isOutdated(previous, now)
	return retention
}

// WithRead returns the retention after a read of the store, and the servers with those of the previous list that are
// kept. Peers are the other entries whose reads fail.
func (retention Retention) WithRead(previous, read Snapshot[[]Server], peers PeerFailures) (Retention, []Server) {
	failed := retention.failedAt > 0 && read.CurrentAt-retention.failedAt < reregistrationGrace
	gap := isOutdated(previous, read.CurrentAt)
	// Another entry may have read the list since the outage, so the gap is not always seen.
	if gap && (failed || peers.ShowOutage(previous.CurrentAt)) || failed && retention.inOutage {
		retention.until = read.CurrentAt + reregistrationGrace
	}
	retention.failedAt = 0
	if read.CurrentAt >= retention.until {
		return retention, read.Value
	}
	return retention, WithRetained(read.Value, previous.Value)
}

// WithRestore returns the servers of a read with those of the previous list that it lacks, or of which it has an earlier
// incarnation or state, if the store was restored from a backup less than restoreGrace ago. RestoreListedAt is when this entry got the
// first list since, 0 for none: another entry may have read that list.
func WithRestore(previous, read Snapshot[[]Server], restoreListedAt time.Duration) []Server {
	restored := previous.Revision > 0 && Era(read.Revision) > Era(previous.Revision)
	if !restored && (restoreListedAt == 0 || read.CurrentAt-restoreListedAt >= restoreGrace) {
		return read.Value
	}
	known := make(map[string]Server, len(previous.Value))
	for _, server := range previous.Value {
		known[server.ID] = server
	}
	servers := slices.Clone(read.Value)
	for i, server := range servers {
		if last, ok := known[server.ID]; ok && server.isBefore(last) {
			servers[i] = last
		}
	}
	return WithRetained(servers, previous.Value)
}

// isBefore reports whether a registration is an earlier one than another of the same server.
func (server Server) isBefore(other Server) bool {
	if server.StartedMs != other.StartedMs {
		return server.StartedMs < other.StartedMs
	}
	return server.State == StateReady && other.State == StateLeaving
}

// isOutdated reports whether a list is older than outageGap at a time.
func isOutdated(list Snapshot[[]Server], at time.Duration) bool {
	return list.Revision > 0 && at-list.CurrentAt > outageGap
}
