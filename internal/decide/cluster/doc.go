// Package cluster holds what an entry knows of the other entries.
//
// Statements of every entry to every other one would grow with the square of
// their number. So the strongest few entries are relays ([State.Relays]). Each
// other entry reports its own [Record] to one relay, which adds up what it hears
// into a [Group]. Relays tell each other their groups, and tell each reporting
// entry the sum of the others. A sum never goes down while its relay lives: what
// an entry admitted is counted from the first report on, also after the entry has
// ended.
//
// Nobody elects relays. All entries order each other alike, and one that does not
// reach its relay reports to the next.
package cluster
