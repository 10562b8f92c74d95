package usage

import (
	"maps"
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

// With returns the counts after one more request of a client account began.
func (counts Counts) With(window int64, account string) Counts {
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
