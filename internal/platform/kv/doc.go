// Package kv is the client of the platform's key-value service.
//
// [Client] speaks the etcd v3 JSON gateway protocol over HTTP. The service
// counts every call and sustains a fixed rate, so a client limits its calls per
// second and its concurrent calls, and every call has a timeout. Reads are
// retried with backoff. Writes are never retried here: a write without an
// answer may have taken effect, which [UnansweredError] reports, and the caller
// finds out by reading the key. [Lease.Held] reports, by the monotonic clock of
// the lease's holder, whether the holder may still act.
package kv
