// Package booking decides how an order that must run at most once goes on.
//
// A [Shard] is the immutable state of the bookings of one shard log, the fold
// of its entries. Each entry holds [Change] values. A [Record] is Absent, then
// Intent (committed, so its holder may be sending it), then Done, Refused (it
// truly did not run) or Unknown (its holder ended or lost the answer).
//
// Three rules keep an order from running twice. Only the holder named in the
// newest intent sends, and it sends once per attempt. An order that may have
// run is never sent again, unless the service drops repeats of a key itself.
// Whoever decides from an old state cannot commit, since the log's next number
// is taken. A record that more than one attempt was made for is not refused on
// the word of one of them, because another may have run.
package booking
