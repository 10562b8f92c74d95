package usage

import "time"

// Defect says why a report cannot be true.
type Defect string

const (
	// DefectNone is the defect of a report that may be true.
	DefectNone Defect = ""
	// DefectFuture means that the report is complete up to a time, or counts calls in a window, that is yet to come.
	DefectFuture Defect = "Future"
	// DefectWindow means that the report has a window before 1970, or more windows than an entry keeps.
	DefectWindow Defect = "Window"
	// DefectCount means that the report counts more calls than an entry can begin, or fewer than none.
	DefectCount Defect = "Count"
)

const (
	// maxClockLead is how far a report may be ahead of the entry's clock, which the clocks of its peers correct. Clocks of VMs
	// differ by seconds at most.
	maxClockLead = time.Minute
	// maxWindowLead is the same in windows. An incarnation's counts hold maxWindows windows, and a later one drops the
	// earliest: the other half is for the windows that are still to be reported.
	maxWindowLead = maxWindows / 2
	// maxCallsPerSecond bounds the calls that begin at one entry: 58 times the 1,700 a second that a whole fleet has at its peak. What an
	// account could be admitted there is not known: its limits change, and hold for all entries together.
	maxCallsPerSecond = 100_000
)

// Bounds decides what a report that an entry receives from a peer may say.
type Bounds struct {
	// Now is the wall-clock time of the receipt.
	Now time.Time
	// WindowLength is the length of a window, at least 1 ms.
	WindowLength time.Duration
}

// Check returns the defect of a report whose counts are said to be complete up to a time.
func (bounds Bounds) Check(counts Counts, asOf time.Time) Defect {
	if asOf.Sub(bounds.Now) > maxClockLead {
		return DefectFuture
	}
	latest := min(WindowAt(bounds.Now.Add(maxClockLead), bounds.WindowLength), WindowAt(bounds.Now, bounds.WindowLength)+maxWindowLead)
	if counts.latest() > latest {
		return DefectFuture
	}
	if len(counts.windows) > maxWindows {
		return DefectWindow
	}
	for window, accounts := range counts.windows {
		if window < 0 {
			return DefectWindow
		}
		if !bounds.canBegin(accounts) {
			return DefectCount
		}
	}
	return DefectNone
}

// canBegin reports whether one entry can begin so many calls in a window.
func (bounds Bounds) canBegin(accounts map[string]int64) bool {
	// A window below 1 s may hold the calls of a second, which can begin in one burst.
	most := int64(max(time.Second, bounds.WindowLength).Seconds() * maxCallsPerSecond)
	total := int64(0)
	for _, count := range accounts {
		if count < 0 || count > most-total {
			return false
		}
		total += count
	}
	return true
}

// CompleteUntil returns the time up to which a report is complete that says so of a time: no later than now, since its sender
// may yet count calls that begin after it was received.
func (bounds Bounds) CompleteUntil(asOf time.Time) time.Time {
	if asOf.After(bounds.Now) {
		return bounds.Now
	}
	return asOf
}
