// Package operator is the HTTP front end for operators and health checks, and its client.
//
// Bodies are JSON with Pascal-case keys.
//   - GET /healthz answers 200 while the process runs, /readyz while it is ready.
//   - GET /metrics gives the metrics in the Prometheus text format.
//   - GET /requests/ID tells how the entry decided a recent request.
//   - GET /backends lists the backend servers as this entry sees them.
//   - GET /config gives the configuration in force.
//   - POST /config takes a change (package document). It answers 200 with the
//     revision, 409 with the change that came first, 422 with the findings, 400
//     for a malformed body, 413 for one that is too large, and 503 when the
//     key-value service does not answer; the body then says in Unsure whether
//     the change may have been committed.
//   - GET /config/history?after=N gives the accepted changes after a revision.
//   - GET /config/changes?after=N tells what each of them did, field by field.
//   - GET /entries gives the revision in force at each entry.
//   - POST /select tells what {"Selector": "..."} matches now.
//   - GET /quarantine lists the requests that crashed backend servers, and POST
//     /quarantine/release clears the one that {"ID": "..."} names of the crashes so far.
//
// All but the first two lines need "Authorization: Bearer KEY" with an
// operator's key. Reads are answered from memory, so they work while the
// key-value service is out; AgeMs says how long ago the entry last knew that
// its configuration was the newest, and is absent when that is not known.
package operator
