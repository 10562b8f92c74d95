// Package membership tracks the members of the fleet and the state that entries exchange by gossip.
//
// A [Member] is the record of one entry. Two records of the same entry are
// merged by [Member.Merge], which is commutative, associative and idempotent,
// so the order in which records arrive does not matter. A later incarnation
// replaces an earlier one. Within an incarnation, leaving is permanent, and a
// condition set by another entry (Suspect, Gone) lasts until the entry publishes
// a higher version. A paused VM therefore corrects its record by its next heartbeat.
//
// A [Table] holds versioned items by origin. Each origin numbers its items, and
// for each origin an entry keeps the version up to which it holds all items
// ([Version]). An exchange sends these versions first and then only the items that
// the other side lacks, in one delta per origin. An origin's version also serves
// as its heartbeat.
//
// A [State] combines the two. Items of urgent kinds are sent ahead for a few
// rounds, so that they spread faster than the exchange of versions allows within
// the byte limit; all other items wait for that exchange.
//
// Rendezvous hashing ([Owner], [Successors]) assigns shards to live entries. The
// result depends only on the set of live entries. With a route table that moves
// the fewest routes, the result would depend on the order of joins and leaves, and
// entries that received changes in different orders would disagree permanently.
package membership
