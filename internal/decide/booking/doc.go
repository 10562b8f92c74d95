// Package booking decides how to process a request that must run at most once.
//
// A booking is the replicated [Record] of such a request, found by client account
// and idempotency key. Bookings are sharded, and each shard has a log. A [Shard]
// is the immutable state that results from applying all entries of its log, each
// of which contains [Change] values. The state of a record is Absent, then Intent
// (an attempt is committed, and the holder, which is the incarnation of the
// entry that committed it, may be sending the request), then Done, Refused (the
// request certainly did not run) or Unknown (the holder ended or lost the answer).
//
// Three rules prevent a request from running twice. Only the holder of the latest
// intent sends the request, once per attempt. A request that may have run is never
// sent again, unless the service deduplicates by key itself. A decision based on an
// outdated state cannot be committed, because the next log number is already taken.
// A record with more than one attempt does not become Refused because one attempt
// reports so, since another attempt may have run.
package booking
