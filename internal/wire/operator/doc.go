// Package operator is the HTTP front end for operators and health checks, and its client.
//
// Bodies are JSON with Pascal-case keys.
//   - GET /healthz answers 200 while the process runs, and GET /readyz while the
//     entry is ready for requests.
//   - GET /metrics returns the metrics in the Prometheus text format.
//   - GET /requests/ID returns the decisions of this entry about a recent request.
//   - GET /backends lists the backend servers with this entry's observations of them.
//   - GET /config returns the current configuration.
//   - POST /config commits a change (package document). It answers 200 with the
//     revision, 409 with the conflicting change that was committed first, 422 with
//     the findings, 400 for a malformed body, 413 for a body that is too large, and
//     503 when the key-value service does not answer; Unsure in the body then
//     reports whether the change may have been committed.
//   - GET /config/history?after=N returns the accepted changes after a revision.
//   - GET /config/changes?after=N returns the effects of these changes, field by field.
//   - GET /entries returns the current revision of each entry.
//   - POST /select returns the documents that {"Selector": "..."} matches.
//   - GET /quarantine lists the requests that crashed backend servers, and POST
//     /quarantine/release discards the crashes so far of the request {"ID": "..."}.
//
// Except for /healthz, /readyz and /metrics, all calls need "Authorization: Bearer
// KEY" with an operator's key. Reads are answered from memory, so they work while the
// key-value service is unavailable. AgeMs is the time since the entry last verified
// that its configuration was the latest, and is absent if the entry does not measure it.
package operator
