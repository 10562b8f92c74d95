package quota

import (
	"math"
	"time"
)

const (
	// slotTime is the resolution of a history, and slotCount the number of slots, which cover 11 s: maxWindow and maxReportDelay.
	slotTime  = 250 * time.Millisecond
	slotCount = 44
)

// history is what was counted in each of the latest slots of time. It is a value: a copy does not change with the original.
type history struct {
	slots [slotCount]float64
	// latest is the number of the latest slot, counted from the start of the clock.
	latest int64
}

// newHistory returns a history in which a rate was counted until now.
func newHistory(rate float64, now time.Duration) history {
	var past history
	past.latest = slotOf(now)
	for i := range past.slots {
		past.slots[i] = rate * slotTime.Seconds()
	}
	return past
}

// withSize returns the history with a size counted evenly between two times. What is older than all slots is left out.
func (history history) withSize(size float64, from, to time.Duration) history {
	first, last := slotOf(from), slotOf(to)
	history = history.advanced(last)
	share := size / float64(last-first+1)
	for slot := max(first, history.latest-slotCount+1); slot <= last; slot++ {
		history.slots[index(slot)] += share
	}
	return history
}

// without returns the history with a size removed from the latest slots that have any.
func (history history) without(size float64) history {
	for slot := history.latest; slot > history.latest-slotCount && size > 0; slot-- {
		removed := min(size, max(0, history.slots[index(slot)]))
		history.slots[index(slot)] -= removed
		size -= removed
	}
	return history
}

// scaled returns the history with all sizes multiplied by a factor.
func (history history) scaled(factor float64) history {
	for i := range history.slots {
		history.slots[i] *= factor
	}
	return history
}

// advanced returns the history up to a slot, with empty slots after the latest one.
func (history history) advanced(slot int64) history {
	if slot-history.latest > slotCount {
		history.latest = slot - slotCount
	}
	for history.latest < slot {
		history.latest++
		history.slots[index(history.latest)] = 0
	}
	return history
}

// at returns what was counted in a slot.
func (history history) at(slot int64) float64 {
	if slot > history.latest || slot <= history.latest-slotCount {
		return 0
	}
	return history.slots[index(slot)]
}

// between returns what was counted between two times, with parts of the first and last slots.
func (history history) between(from, to time.Duration) float64 {
	sum := 0.0
	for slot := slotOf(from); slot <= slotOf(to); slot++ {
		begin, end := max(from, time.Duration(slot)*slotTime), min(to, time.Duration(slot+1)*slotTime)
		sum += history.at(slot) * max(0, float64(end-begin)/float64(slotTime))
	}
	return sum
}

// slotOf returns the number of the slot at a time, which is negative before the start of the clock.
func slotOf(at time.Duration) int64 { return int64(math.Floor(float64(at) / float64(slotTime))) }

func index(slot int64) int64 { return (slot%slotCount + slotCount) % slotCount }
