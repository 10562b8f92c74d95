package backend

import "time"

// reportHalfWeightAge is the age at which a load report has half its weight. Reports are
// about 2 s old when they arrive, and the requests at a server change within a few seconds.
const reportHalfWeightAge = 2 * time.Second

// LoadReport is the load that a server reported.
type LoadReport struct {
	// Running and Waiting are the numbers of running and waiting requests of all entries.
	Running, Waiting int
	// At is when the server measured the load.
	At time.Time
}

// Requests returns the number of requests that run or wait.
func (loadReport LoadReport) Requests() int {
	return loadReport.Running + loadReport.Waiting
}

// weight returns the weight of the report in the current load, between 0 and 1, which falls with its age.
func (loadReport LoadReport) weight(now time.Time) float64 {
	if loadReport.At.IsZero() {
		return 0
	}
	age := max(0, now.Sub(loadReport.At))
	return float64(reportHalfWeightAge) / float64(reportHalfWeightAge+age)
}
