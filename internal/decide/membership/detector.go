package membership

import (
	"maps"
	"time"
)

// Detector is the failure detector: it marks entries as suspect or gone when their heartbeats stop.
//
// It is immutable, and the zero value has received no heartbeats.
type Detector struct {
	// heartbeats are by entry name.
	heartbeats map[string]heartbeat
	// lastTick is the time of the previous call of WithView, zero before the first.
	lastTick time.Time
}

// heartbeat is the latest version received from an entry and when this entry first had it.
type heartbeat struct {
	incarnation Incarnation
	version     uint64
	receivedAt  time.Time
}

const (
	// refreshesPerSecond is the number of refreshes each second by all entries together
	// (see [RefreshInterval]). At about 150 bytes each, sent and received, this part of
	// the exchange stays near 10 KB/s, the same as the digests of 420 entries.
	refreshesPerSecond = 35
	// propagationTime bounds the time that an item takes to reach all entries.
	propagationTime = 8 * time.Second
	// pauseThreshold is the gap between two ticks above which this entry counts as having been paused.
	pauseThreshold = 3 * time.Second
	// goneRetention is how long the record of a gone entry is kept. It is far longer than
	// a partition lasts, so that the other side of the partition cannot reintroduce the entry.
	goneRetention = 24 * time.Hour
)

// RefreshInterval returns the interval at which each of a number of live entries publishes its current items
// anew.
//
// The higher version of these items also serves as the entry's heartbeat.
func RefreshInterval(entries int) time.Duration {
	return max(time.Second, time.Duration(entries)*time.Second/refreshesPerSecond)
}

// SuspectAfter returns the time without a heartbeat after which one of a number of live entries counts as
// suspect; after twice that time it counts as gone.
func SuspectAfter(entries int) time.Duration {
	return 2*RefreshInterval(entries) + propagationTime
}

// WithView returns the detector after it checked the view's heartbeats, and the view with the new conditions.
//
// The gap since the previous call is not counted as silence of the other entries if it shows that this entry
// itself was paused. Entries without a heartbeat for 24 hours are removed. The entry named self keeps its
// condition.
func (detector Detector) WithView(view View, self string, now time.Time) (Detector, View) {
	paused := time.Duration(0)
	if gap := now.Sub(detector.lastTick); !detector.lastTick.IsZero() && gap > pauseThreshold {
		paused = gap
	}
	next := maps.Clone(detector.heartbeats)
	if next == nil {
		next = map[string]heartbeat{}
	}
	suspectAfter := SuspectAfter(len(view.Live()))
	var changed []Member
	var removed []string
	for name, member := range view.All() {
		latest, ok := next[name]
		if !ok || latest.incarnation != member.Incarnation || latest.version != member.Version {
			latest = heartbeat{incarnation: member.Incarnation, version: member.Version, receivedAt: now}
		} else {
			latest.receivedAt = latest.receivedAt.Add(paused)
		}
		next[name] = latest
		switch silence := now.Sub(latest.receivedAt); {
		case name == self:
		case silence > goneRetention && member.Condition == ConditionGone:
			removed = append(removed, name)
			delete(next, name)
		case silence > 2*suspectAfter && member.Condition != ConditionGone:
			changed = append(changed, member.WithCondition(ConditionGone))
		case silence > suspectAfter && member.Condition == ConditionAlive:
			changed = append(changed, member.WithCondition(ConditionSuspect))
		}
	}
	return Detector{heartbeats: next, lastTick: now}, view.WithMembers(changed...).Without(removed...)
}
