// Package operator is the HTTP front end for operators and health checks.
//
// Bodies are JSON with Pascal-case keys.
//   - GET /healthz answers 200 while the process runs, /readyz while it is ready.
//   - GET /metrics gives the metrics in the Prometheus text format.
//   - GET /requests/ID tells how the entry decided a recent request.
//   - GET /backends lists the backend servers as this entry sees them.
//   - GET /config gives the configuration in force and its revision.
//
// The last three need "Authorization: Bearer KEY" with an operator's key.
package operator
