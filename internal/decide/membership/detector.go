package membership

import (
	"maps"
	"time"
)

// Detector is the failure detector: it marks entries as suspect or gone when their heartbeats stop.
type Detector struct {
	heartbeats map[string]heartbeat
	last       time.Time
}

// heartbeat is the latest version received from an entry and when it arrived.
type heartbeat struct {
	incarnation Incarnation
	version     uint64
	at          time.Time
}

const (
	// entriesPerSecond is how many entries of the whole fleet may refresh their load
	// item each second. At about 150 bytes each, sent and received, this part of the
	// exchange stays near 10 KB/s, the same as the digests of 420 entries.
	entriesPerSecond = 35
	// propagationTime bounds the time that an item takes to reach all entries.
	propagationTime = 8 * time.Second
	// pauseThreshold is the gap between two ticks above which this entry counts as having been paused.
	pauseThreshold = 3 * time.Second
	// retention is how long the record of a gone entry is kept. It is far longer than
	// a partition lasts, so that the other side cannot reintroduce the entry.
	retention = 24 * time.Hour
)

// RefreshInterval returns the interval at which an entry refreshes its load item, which is also its heartbeat.
func RefreshInterval(entries int) time.Duration {
	return max(time.Second, time.Duration(entries)*time.Second/entriesPerSecond)
}

// SuspectAfter returns the time without a heartbeat after which an entry is suspected; after twice that time it is gone.
func SuspectAfter(entries int) time.Duration {
	return 2*RefreshInterval(entries) + propagationTime
}

// WithView returns the detector after it checked the view's heartbeats, and the view with the new conditions.
//
// After a pause of this entry itself, the length of the pause is not counted as
// silence of the others. Entries gone for 24 hours are removed.
func (detector Detector) WithView(view View, self string, now time.Time) (Detector, View) {
	paused := time.Duration(0)
	if gap := now.Sub(detector.last); !detector.last.IsZero() && gap > pauseThreshold {
		paused = gap
	}
	next := maps.Clone(detector.heartbeats)
	if next == nil {
		next = map[string]heartbeat{}
	}
	limit := SuspectAfter(len(view.Live()))
	var changed []Member
	var removed []string
	for name, member := range view.All() {
		last, ok := next[name]
		if !ok || last.incarnation != member.Incarnation || last.version != member.Version {
			last = heartbeat{incarnation: member.Incarnation, version: member.Version, at: now}
		} else {
			last.at = last.at.Add(paused)
		}
		next[name] = last
		switch silence := now.Sub(last.at); {
		case name == self:
		case silence > retention && member.Condition == ConditionGone:
			removed = append(removed, name)
			delete(next, name)
		case silence > 2*limit && member.Condition != ConditionGone:
			changed = append(changed, member.WithCondition(ConditionGone))
		case silence > limit && member.Condition == ConditionAlive:
			changed = append(changed, member.WithCondition(ConditionSuspect))
		}
	}
	return Detector{heartbeats: next, last: now}, view.WithMembers(changed...).Without(removed...)
}
