// Package membership decides on the membership of entries and on the state that entries exchange.
//
// A [Member] is what is known of one entry. Two records of the same entry are
// joined by [Member.Merge], which is commutative, associative and idempotent,
// so the order in which records arrive does not matter. A later incarnation
// replaces an earlier one. Within an incarnation, leaving is permanent, and a
// doubt raised by another entry (Suspect, Gone) lasts until the entry states a
// higher version. A paused VM therefore corrects itself by its next heartbeat.
//
// A [Table] holds versioned items by origin. Each origin numbers its items, and
// an entry knows up to which number it has everything ([Version]). An exchange
// sends these numbers first and then only the items that the other side lacks,
// in one delta per origin. An origin's number also serves as its heartbeat.
//
// A [State] joins the two. Items of urgent kinds are sent ahead as rumours for a
// few rounds, so that they spread faster than the exchange of versions allows
// within the byte limit; all other items wait for that exchange.
//
// Rendezvous hashing ([Owner], [Successors]) assigns shards to live entries. The
// result depends only on the set of live entries. A route table that moves the
// fewest routes depends on the order of joins and leaves, so entries that
// learned of changes in different orders would disagree for good.
package membership
