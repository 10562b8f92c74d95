package retry

import "time"

const (
	// slotTime is the resolution of a window.
	slotTime = 500 * time.Millisecond
	// slotCount covers a whole window beside the slot in progress.
	slotCount = int64(BudgetWindow/slotTime) + 1
)

// windowCounts are the numbers of successes and of what was spent in the latest BudgetWindow: requests and retries, or tokens. The zero value
// is empty.
type windowCounts struct {
	// startedAt is the time of the first count, and slot the number of the slot in progress since then.
	startedAt time.Time
	slot      int64
	slots     [slotCount]slotCounts
	// successes and spent are the sums of slots.
	successes, spent int
}

// slotCounts are the numbers of one slot.
type slotCounts struct{ successes, spent int }

// at returns the counts without those that are too old. A time before the last one changes nothing: goroutines may report in a different
// order than they read the clock.
func (counts windowCounts) at(now time.Time) windowCounts {
	if counts.startedAt.IsZero() {
		counts.startedAt = now
	}
	// The first reading keeps the monotonic clock, so steps of the wall clock do not matter.
	slot := int64(now.Sub(counts.startedAt) / slotTime)
	for next := max(counts.slot+1, slot-slotCount+1); next <= slot; next++ {
		expired := &counts.slots[next%slotCount]
		counts.successes -= expired.successes
		counts.spent -= expired.spent
		*expired = slotCounts{}
	}
	counts.slot = max(counts.slot, slot)
	return counts
}

// withSuccesses returns the counts after a number of successes.
func (counts windowCounts) withSuccesses(number int, now time.Time) windowCounts {
	counts = counts.at(now)
	counts.successes += number
	counts.slots[counts.slot%slotCount].successes += number
	return counts
}

// withSpent returns the counts after a number was spent.
func (counts windowCounts) withSpent(number int, now time.Time) windowCounts {
	counts = counts.at(now)
	counts.spent += number
	counts.slots[counts.slot%slotCount].spent += number
	return counts
}

// withRefund returns the counts with one less spent, the latest one that is left.
func (counts windowCounts) withRefund() windowCounts {
	for age := range slotCount {
		latest := &counts.slots[(counts.slot-age+slotCount)%slotCount]
		if latest.spent > 0 {
			latest.spent--
			counts.spent--
			break
		}
	}
	return counts
}
