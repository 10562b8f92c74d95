// Package loadreport reads the load that backend servers report.
//
// There is no published standard for load reports. A server answers GET /load with
//
//	{"Running": 3, "Waiting": 0}
//
// where Running is the number of requests that it executes and Waiting the number of
// requests in its queue, in both cases the requests of all entries. Both are needed;
// other fields are ignored.
package loadreport
