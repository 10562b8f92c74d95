package directory

import "time"

// PeerFailures records since when other entries report that they cannot reach the store. It is immutable.
//
// The store may turn some entries away while it serves the others. So a few of them show no outage, and neither does one that was turned
// away while another entry read the list, however long its reports go on.
type PeerFailures struct {
	// since is when this entry first saw the reports that go on now, by the name of the entry.
	since map[string]time.Duration
	// peers is the number of other live entries.
	peers int
}

// WithFailing returns the failures at a time when exactly the named ones of a number of other live entries report that they cannot reach the
// store.
func (failures PeerFailures) WithFailing(names []string, peers int, now time.Duration) PeerFailures {
	if len(names) == 0 {
		return PeerFailures{peers: peers}
	}
	since := make(map[string]time.Duration, len(names))
	for _, name := range names {
		if at, known := failures.since[name]; known {
			since[name] = at
		} else {
			since[name] = now
		}
	}
	return PeerFailures{since: since, peers: peers}
}

// ShowOutage reports whether at least half of the other entries have failed to reach the store since a time.
//
// In an outage that is long enough for registrations to expire, all entries try to read the store.
func (failures PeerFailures) ShowOutage(since time.Duration) bool {
	failing := 0
	for _, at := range failures.since {
		if at > since {
			failing++
		}
	}
	return failing > 0 && 2*failing >= failures.peers
}
