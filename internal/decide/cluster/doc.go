// Package cluster holds the latest states that one entry has received from its peers, the other entries.
//
// An entry is a process that forwards the requests of callers to backend servers. If
// every entry sent its state to every other one, the traffic would grow with the
// square of their number. The few entries with the most processor time are therefore
// aggregators ([Fleet.Aggregators]). Each other entry sends its own [EntryState] as a
// heartbeat to one aggregator, which adds up the states that it receives into an
// [Aggregate]. Aggregators exchange their aggregates, and send each reporting entry
// the aggregates of all others. The admitted totals of an aggregate never decrease
// while its aggregator runs: what an entry admits after its first heartbeat stays
// counted when the entry has ended.
//
// Aggregators are not elected. All entries rank each other by the same rule (processor
// cores, then a hash of the name), and an entry that cannot reach its aggregator sends
// its heartbeats to the next one.
//
// A point in time that is given as a [time.Duration], such as the parameter now, is a reading of
// the VM's boot clock: the time since the VM booted.
package cluster
