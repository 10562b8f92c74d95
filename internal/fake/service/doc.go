// Package service is a stand-in for a plain service, as an HTTP server.
//
// It runs every operation that it receives, including a repeated one with the same
// idempotency key, and counts the runs per key, so that a test can detect an operation
// that ran twice.
//   - GET /status?key=KEY answers 200 with the first answer given for the key, or 404.
//   - GET /runs?key=KEY answers with the number of runs for the key.
//   - GET /load answers {"Running": n, "Waiting": n}.
package service
