package usage

import (
	"maps"
	"math"
	"time"
)

// Counts holds the numbers of requests that began to run, by window and client account; the zero value is empty.
type Counts struct {
	windows map[int64]map[string]int64
}

// maxWindows is the number of windows for which an entry keeps its counts.
const maxWindows = 8

// Of returns the counts of windows as they are, by number and client account. [Bounds.Check] decides whether an entry can
// have them. The caller must not change the windows afterwards.
func Of(windows map[int64]map[string]int64) Counts { return Counts{windows: windows} }

// WindowAt returns the number of the window of the given length that contains a wall-clock time.
func WindowAt(at time.Time, length time.Duration) int64 {
	return at.UnixMilli() / length.Milliseconds()
}

// Window returns the counts of a window by client account, which the caller must not change.
func (counts Counts) Window(window int64) map[string]int64 { return counts.windows[window] }

// Windows returns the counts of all windows by number, which the caller must not change.
func (counts Counts) Windows() map[int64]map[string]int64 { return counts.windows }

// WithRequest returns the counts after one more request of a client account began to run in a window.
func (counts Counts) WithRequest(window int64, account string) Counts {
	return counts.WithWindow(window, map[string]int64{account: counts.windows[window][account] + 1})
}

// WithWindow returns the counts with those of the given accounts in a window replaced. It
// drops windows that are maxWindows or more before that one.
func (counts Counts) WithWindow(window int64, accounts map[string]int64) Counts {
	windows := make(map[int64]map[string]int64, len(counts.windows)+1)
	for number, kept := range counts.windows {
		if number > window-maxWindows {
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

// Merge returns the higher count of each account and window. Both must come from the same
// incarnation, whose counts only grow, so that the higher count is the later one.
//
// It ignores windows that are maxWindows or more before the latest, so that what others report does not grow without bound.
func (counts Counts) Merge(other Counts) Counts {
	latest := max(counts.latest(), other.latest())
	for window, accounts := range other.windows {
		// The difference could overflow if latest is below 0, which it is without windows.
		if latest >= 0 && window <= latest-maxWindows {
			continue
		}
		higher := map[string]int64{}
		for account, count := range accounts {
			if count > counts.windows[window][account] {
				higher[account] = count
			}
		}
		if len(higher) > 0 {
			counts = counts.WithWindow(window, higher)
		}
	}
	return counts
}

// Recent returns the counts of only the given number of windows up to the latest.
func (counts Counts) Recent(windows int) Counts {
	latest := counts.latest()
	recent := make(map[int64]map[string]int64, windows)
	for window, accounts := range counts.windows {
		if window > latest-int64(windows) {
			recent[window] = accounts
		}
	}
	return Counts{windows: recent}
}

// latest returns the number of the latest window, [math.MinInt64] for none.
func (counts Counts) latest() int64 {
	latest := int64(math.MinInt64)
	for window := range counts.windows {
		latest = max(latest, window)
	}
	return latest
}

// Sum returns the sum of several counts in one window, by client account.
func Sum(window int64, all ...Counts) map[string]int64 {
	sum := map[string]int64{}
	for _, counts := range all {
		for account, count := range counts.windows[window] {
			sum[account] += count
		}
	}
	return sum
}
