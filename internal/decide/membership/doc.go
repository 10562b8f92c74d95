// Package membership tracks the members of the fleet and the state that entries exchange by gossip.
//
// An entry is one process of the service that accepts requests. A [Member] is the
// membership record of one entry. Two records of the same entry are
// merged by [Member.Merge], which is commutative, associative and idempotent,
// so the order in which records arrive does not matter. A later incarnation
// replaces an earlier one. Within an incarnation, leaving is permanent, and a
// condition set by another entry (Suspect, Gone) lasts until the entry itself publishes
// a higher version. An entry on a paused VM therefore corrects its record with its next
// heartbeat.
//
// A [Table] holds versioned items by origin, the incarnation of an entry that
// published them. Each origin numbers its items, and for each origin an entry keeps
// the version up to which it holds all items ([OriginVersion]). In an exchange, each
// side first sends these versions and then only the items that the other side lacks,
// in one delta per origin. An origin's version also serves as its heartbeat.
//
// A [State] combines a [View] of all members with a table. Items of urgent kinds are
// sent ahead: for a few rounds, they are also sent outside the exchange of versions,
// since that exchange would spread them too slowly within the byte limit of a message.
// All other items wait for the exchange.
//
// Rendezvous hashing ([Owner], [Successors]) assigns shards to live entries; a shard
// is the number to which a caller hashes a unit of work. The result depends only on
// the set of live entries. A route table that moves the fewest shards on each change
// would depend on the order of joins and leaves, and entries that received changes in
// different orders would disagree permanently.
package membership
