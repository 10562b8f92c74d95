// Package kv is the client of the platform's key-value service.
//
// [Client] speaks the etcd v3 JSON gateway protocol over HTTP. The service
// counts every call and sustains a fixed rate, so a client keeps to a budget of
// calls a second and to a bound of calls at once, and every call has a timeout.
// Reads are repeated with backoff. Writes are never repeated here: a write
// without an answer may have taken effect, which [OutError] states, and the
// caller resolves it by reading back. [Lease] tells its holder by the holder's
// own monotonic clock whether it may still act.
package kv
