// Package caller is the HTTP front end for callers.
//
//   - POST /v1/completions and /v1/chat/completions take the OpenAI-compatible
//     requests of package openai; the model names the service.
//   - Any method on /services/NAME/PATH is passed to the plain service NAME as PATH.
//
// Callers authenticate with "Authorization: Bearer KEY" and may set X-Request-Id
// and Idempotency-Key. Every error says in X-Ran whether the request ran: NotRun,
// Run or Unknown. Decisions are made behind [request.Handler]; this package only
// translates.
package caller
