// Package quota enforces rate limits of client accounts that apply to all entries together.
//
// An entry is a process that forwards the requests of callers to backend servers. Each
// entry holds a copy of one token [Bucket] for each client account. It subtracts what it
// admits itself at once, and what its peers, the other entries, admitted when they report it.
// Reports are cumulative totals, so that lost or repeated reports do no harm. Between
// reports, a bucket extrapolates the recent rates of its peers.
//
// A bucket may thus be overdrawn by what all entries admit within the delay of one
// report, and then rejects requests until that debt is paid off; the rate over any
// longer time is exact, however unevenly the requests arrive. While a debt is paid off,
// each entry is also limited to a small allowance. An entry that has just started has a
// small bucket of its own in place of the copy.
package quota
