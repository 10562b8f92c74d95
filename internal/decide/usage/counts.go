package usage

import (
	"maps"
	"math"
	"time"
)

// Counts are the requests that began, by window and client account.
type Counts struct {
	windows map[int64]map[string]int64
}

// keptWindows is how many windows an entry keeps its counts of.
const keptWindows = 8

// WindowAt returns the number of the window that holds a wall-clock time.
func WindowAt(at time.Time, length time.Duration) int64 {
	return at.UnixMilli() / length.Milliseconds()
}

// Window returns the counts of a window by client account, which the caller must not change.
func (counts Counts) Window(window int64) map[string]int64 { return counts.windows[window] }

// Windows returns all windows, which the caller must not change.
func (counts Counts) Windows() map[int64]map[string]int64 { return counts.windows }

// WithRequest returns the counts after one more request of a client account began.
func (counts Counts) WithRequest(window int64, account string) Counts {
	return counts.WithWindow(window, map[string]int64{account: counts.windows[window][account] + 1})
}

// WithWindow returns the counts with some accounts of a window replaced.
func (counts Counts) WithWindow(window int64, accounts map[string]int64) Counts {
	windows := make(map[int64]map[string]int64, len(counts.windows)+1)
	for number, kept := range counts.windows {
		if number > window-keptWindows {
			windows[number] = kept
		}
	}
	next := maps.Clone(windows[window])
	if next == nil {
		next = map[string]int64{}
	}
	maps.Copy(next, accounts)
	windows[window] = next
	return Counts{windows: windows}
}

// Merge returns the counts of both, which are of one incarnation, so that the higher one is the newer.
func (counts Counts) Merge(other Counts) Counts {
	for window, accounts := range other.windows {
		newer := map[string]int64{}
		for account, count := range accounts {
			if count > counts.windows[window][account] {
				newer[account] = count
			}
		}
		if len(newer) > 0 {
			counts = counts.WithWindow(window, newer)
		}
	}
	return counts
}

// Recent returns the counts of the last windows only.
func (counts Counts) Recent(windows int) Counts {
	last := int64(math.MinInt64)
	for window := range counts.windows {
		last = max(last, window)
	}
	recent := make(map[int64]map[string]int64, windows)
	for window, accounts := range counts.windows {
		if window > last-int64(windows) {
			recent[window] = accounts
		}
	}
	return Counts{windows: recent}
}

// Sum adds up the counts of one window.
func Sum(window int64, all ...Counts) map[string]int64 {
	sum := map[string]int64{}
	for _, counts := range all {
		for account, count := range counts.windows[window] {
			sum[account] += count
		}
	}
	return sum
}
