// Package caller is the HTTP front end for callers.
//
//   - POST /v1/completions and /v1/chat/completions take the OpenAI-compatible
//     requests of package openai; the model names the service.
//   - Any method on /services/NAME/PATH is forwarded to the plain service NAME as PATH.
//
// Callers authenticate with "Authorization: Bearer KEY" and may set X-Request-Id
// and Idempotency-Key. The X-Ran header of every error reports whether the request
// ran: NotRun, Run or Unknown.
//
// An entry that leaves ends a stream with an event of type "handover", whose data
// has RequestId, Tokens and RetryAfterSeconds. If it has sent nothing yet, it
// answers 503 with Retry-After and X-Request-Id. The caller then sends the same
// body with that X-Request-Id to any entry. If the repeat is streamed, the caller
// sends the id of the last event that it received in Last-Event-ID, and receives
// the remaining events. Without Last-Event-ID, or when no entry has the state any
// more, the answer begins at offset 0, as "offset" in the first event shows. An
// answer that is not streamed is always sent in full. While a peer holds the state,
// a request with the same id is refused with 422 if it has another body or belongs
// to another client account.
//
// This package only translates between HTTP and the types of package call; all
// decisions are made behind [request.Handler].
package caller
