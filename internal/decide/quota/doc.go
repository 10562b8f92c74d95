// Package quota keeps client accounts within limits that hold over all entries together.
//
// Each entry holds a copy of one [Bucket] for a client account. It takes out what
// it admits itself at once, and what other entries admitted when they report
// it. Reports are cumulative counts, so that a lost or repeated one does no harm.
// Between reports, a bucket expects its peers to go on at the rate of late. A
// bucket may thus be overdrawn by what all entries admit within one report's
// delay, and then refuses until that is paid back; the rate over any longer time
// is exact, however unevenly the requests arrive. While an excess is paid back,
// each entry has a small allowance of its own besides, and an entry that has just
// started has one in place of the copy.
package quota
