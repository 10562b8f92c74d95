package backend

import "time"

// reportHalfWeight is the age at which a load report counts half: reports are
// about 2 s late, and a server's load turns over in a few seconds.
const reportHalfWeight = 2 * time.Second

// LoadReport is the load that a server reported.
type LoadReport struct {
	// Running and Waiting count the requests of all entries.
	Running, Waiting int
	// At is when the server measured it.
	At time.Time
}

// Requests returns the number of requests that run or wait.
func (loadReport LoadReport) Requests() int {
	return loadReport.Running + loadReport.Waiting
}

// weight returns how much the report still says about now, between 0 and 1.
func (loadReport LoadReport) weight(now time.Time) float64 {
	if loadReport.At.IsZero() {
		return 0
	}
	age := max(0, now.Sub(loadReport.At))
	return float64(reportHalfWeight) / float64(reportHalfWeight+age)
}
