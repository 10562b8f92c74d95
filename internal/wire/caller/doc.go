// Package caller is the HTTP front end for callers.
//
//   - POST /v1/completions and /v1/chat/completions take the OpenAI-compatible
//     requests of package openai; the model names the service.
//   - Any method on /services/NAME/PATH is passed to the plain service NAME as PATH.
//
// Callers authenticate with "Authorization: Bearer KEY" and may set X-Request-Id
// and Idempotency-Key. Every error says in X-Ran whether the request ran: NotRun,
// Run or Unknown.
//
// An entry that leaves ends a stream with an event of type "handover", whose
// data has RequestId, Tokens and RetryAfterSeconds, and answers 503 with
// Retry-After and X-Request-Id where nothing was sent yet. The caller repeats
// the same body with that X-Request-Id at any entry. A streamed repeat states in
// Last-Event-ID the id of the last event that it got, and gets the rest; without
// it, and when the rest is no longer known, the answer begins at offset 0, as
// the first event's "offset" shows. A whole answer always comes whole. While a
// state is held, the id with another body or of another client account is
// refused with 422.
//
// Decisions are made behind [request.Handler]; this package only
// translates.
package caller
