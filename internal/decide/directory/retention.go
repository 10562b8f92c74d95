package directory

import "time"

const (
	// outageGap is the time between two reads above which the store counts as having had an outage.
	outageGap = 1500 * time.Millisecond
	// reregistrationGrace is the time after an outage for which servers that are not listed are kept,
	// so that servers whose registrations expired during the outage can register again.
	reregistrationGrace = 2 * time.Second
)

// Retention keeps servers whose registrations expired during an outage of the store. It is immutable.
//
// An entry that reads the store applies it before it shares the list. An entry that receives the list cannot:
// to it, a delayed message looks the same as an outage.
type Retention struct {
	// until is the time until which servers that are not listed are kept.
	until time.Duration
}

// WithRead returns the retention after a read of the store, and the servers with those of the previous list that are
// kept. The previous list is the latest that the entry has, whichever entry read it.
func (retention Retention) WithRead(previous, read Snapshot[[]Server]) (Retention, []Server) {
	if previous.Revision > 0 && read.CurrentAt-previous.CurrentAt > outageGap {
		retention.until = read.CurrentAt + reregistrationGrace
	}
	if read.CurrentAt >= retention.until {
		return retention, read.Value
	}
	return retention, WithRetained(read.Value, previous.Value)
}
