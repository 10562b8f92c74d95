// Package quota enforces rate limits of client accounts that apply to all entries together.
//
// An entry is a process that forwards the requests of callers to backend servers. Each
// entry holds a copy of one token [Bucket] for each client account. It subtracts what it
// admits itself at once, and what its peers, the other entries, admitted when they report it.
// Reports are cumulative totals, so that lost or repeated reports do no harm. Between
// reports, a bucket extrapolates the recent rates of its peers.
//
// While the level is high, every request is admitted. An account that asks for more than its
// limit is held to it by a fraction: each entry admits the part of its requests that the limit
// is of all that the account asks for at any entry, corrected by the level. Shares of the limit
// by entry would reject requests of accounts whose callers gather at a few entries, and a level
// alone would admit too much and then nothing in turn, in the rhythm of the reports.
//
// With a [Window], the rule by which the limit is judged, a bucket also keeps what all entries admitted in the latest windows.
// An account that asks for no more than its limit is then refused only as far as a window would have no room, also
// while the level is a debt. The demand of peers is extrapolated by the growth of the entry's own, and what a new aggregator
// reports counts for at least what the one before it reported, until all entries report to it.
//
// An excess that all entries admit within the delay of one report is paid off, so the rate over
// any longer time is exact, however unevenly the requests arrive. An entry that has just started
// has a small bucket of its own in place of the copy.
package quota
