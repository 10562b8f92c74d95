package backend

import "time"

// reportHalfWeightAge is the age at which a load report counts half: reports are
// about 2 s late, and a server's load turns over in a few seconds.
const reportHalfWeightAge = 2 * time.Second

// Report is the load that a server reported.
type Report struct {
	// Running and Waiting count the requests of all entries.
	Running, Waiting int
	// At is when the server measured it.
	At time.Time
}

// Requests returns the number of requests that run or wait.
func (report Report) Requests() int {
	return report.Running + report.Waiting
}

// weight returns how much the report still says about now, between 0 and 1.
func (report Report) weight(now time.Time) float64 {
	if report.At.IsZero() {
		return 0
	}
	age := max(0, now.Sub(report.At))
	return float64(reportHalfWeightAge) / float64(reportHalfWeightAge+age)
}
