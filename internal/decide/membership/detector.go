package membership

import (
	"maps"
	"time"
)

// Detector turns the silence of entries into conditions.
type Detector struct {
	heard map[string]heard
	last  time.Time
}

// heard is when an entry's version was last seen to rise.
type heard struct {
	incarnation Incarnation
	version     uint64
	at          time.Time
}

const (
	// entriesPerSecond is how many entries may restate their load each second in
	// the whole fleet; at about 150 bytes each, sent and received, it keeps this
	// part of the exchange near 10 KB/s, the same as the digests of 420 entries.
	entriesPerSecond = 35
	// spread bounds the time in which an item reaches all entries.
	spread = 8 * time.Second
	// pause is a gap between two looks at the clock that shows that this entry stood still.
	pause = 3 * time.Second
	// retention is how long a gone entry is remembered, far longer than a
	// partition lasts, so that the other side cannot bring it back.
	retention = 24 * time.Hour
)

// RefreshInterval returns how often an entry restates its load, which is also its heartbeat.
func RefreshInterval(entries int) time.Duration {
	return max(time.Second, time.Duration(entries)*time.Second/entriesPerSecond)
}

// SuspectAfter returns the silence after which an entry is suspected; it is gone after twice that.
func SuspectAfter(entries int) time.Duration {
	return 2*RefreshInterval(entries) + spread
}

// WithView returns the detector after a look at the view, and the view with its conclusions.
//
// After a pause of this very entry, the time it stood still is not counted as
// silence of the others. Entries gone for 24 hours are dropped.
func (detector Detector) WithView(view View, self string, now time.Time) (Detector, View) {
	stood := time.Duration(0)
	if gap := now.Sub(detector.last); !detector.last.IsZero() && gap > pause {
		stood = gap
	}
	next := maps.Clone(detector.heard)
	if next == nil {
		next = map[string]heard{}
	}
	limit := SuspectAfter(len(view.Live()))
	var doubted []Member
	var dropped []string
	for name, member := range view.All() {
		known, ok := next[name]
		if !ok || known.incarnation != member.Incarnation || known.version != member.Version {
			known = heard{incarnation: member.Incarnation, version: member.Version, at: now}
		} else {
			known.at = known.at.Add(stood)
		}
		next[name] = known
		switch silence := now.Sub(known.at); {
		case name == self:
		case silence > retention && member.Condition == ConditionGone:
			dropped = append(dropped, name)
			delete(next, name)
		case silence > 2*limit && member.Condition != ConditionGone:
			doubted = append(doubted, member.WithCondition(ConditionGone))
		case silence > limit && member.Condition == ConditionAlive:
			doubted = append(doubted, member.WithCondition(ConditionSuspect))
		}
	}
	return Detector{heard: next, last: now}, view.WithMembers(doubted...).Without(dropped...)
}
