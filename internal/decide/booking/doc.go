// Package booking decides how to process an order that must run at most once.
//
// An order here is a caller's request that must run at most once, unlike in package
// order, where it is a command to a backend server. A booking is the replicated
// [Record] of an order, found by client account and idempotency key. Bookings are
// sharded, and each shard has a log. A [Shard] is the immutable state that results
// from applying all entries of its log, each of which contains [Change] values. The
// state of a record is Absent, then Intent (an attempt is committed, and its holder,
// the incarnation of the entry that committed it, may be sending the order), then
// Done, Refused (the order certainly did not run) or Unknown (the holder ended or
// lost the answer). An incarnation is one run of an entry's process.
//
// Three rules prevent an order from running twice. Only the holder of the latest
// intent sends the order, once per attempt. An order that may have run is never
// sent again, unless the service deduplicates by key itself. A decision based on an
// outdated state cannot be committed, because the next log number is already taken.
// A record with more than one attempt does not become Refused because one attempt
// reports so, since another attempt may have run.
package booking
