// Package loadreport reads the load that backend servers report.
//
// There is no published standard for it. A server answers GET /load with
//
//	{"Running": 3, "Waiting": 0}
//
// the requests of all entries that it runs and that wait there.
package loadreport
