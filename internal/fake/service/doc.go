// Package service is a stand-in for a plain service, as an HTTP server.
//
// It runs every operation that it receives, also repeats of an idempotency key,
// and counts the runs of each key, so that a test sees what ran twice.
//   - GET /status?key=KEY answers 200 with the first answer of the key, or 404.
//   - GET /runs?key=KEY answers with the number of runs of the key.
//   - GET /load answers {"Running": n, "Waiting": n}.
package service
