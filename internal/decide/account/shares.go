package account

import "maps"

const (
	// ShareGrowth is the part of a limit by which all entries together may grow in one round.
	//
	// An entry shrinks at once and grows slowly, so that entries whose reports are k
	// rounds apart exceed the limit by at most k times this part. A larger value
	// follows demand faster and overshoots further.
	ShareGrowth = 0.2
	// evenFraction is the part of a limit that is divided evenly whatever the demand, so
	// that an entry whose first request arrives between two rounds can accept it.
	evenFraction = 0.1
)

// Shares divides a limit of one client account between the entries by their demand.
//
// The parts of all entries add up to 1 when they know the same reports. An entry
// that was not heard keeps its fair part, so an entry that hears no peer has
// 1/Entries. When views differ by k rounds, the parts add up to at most
// 1 + k × [ShareGrowth]: none exceeds its part of the older view by more than
// k × ShareGrowth / Entries.
type Shares struct {
	self    string
	entries int
	fraction    float64
	demands map[string]float64
}

// NewShares returns the fair division between that many entries, as the entry self sees it.
func NewShares(self string, entries int) Shares {
	entries = max(1, entries)
	return Shares{self: self, entries: entries, fraction: 1 / float64(entries)}
}

// Part returns the part of the limit that this entry may use, in (0, 1].
func (shares Shares) Part() float64 {
	if shares.entries == 0 {
		return 1
	}
	return shares.fraction
}

// WithEntries returns the division between another number of entries; the part shrinks at once and grows with the next rounds.
func (shares Shares) WithEntries(entries int) Shares {
	shares.entries = max(1, entries)
	shares.fraction = min(shares.fraction, shares.target())
	return shares
}

// WithReport returns the shares after an entry, which may be self, reported its demand.
//
// Demands are in any unit that is the same for all entries.
func (shares Shares) WithReport(entry string, demand float64) Shares {
	shares.demands = maps.Clone(shares.demands)
	if shares.demands == nil {
		shares.demands = map[string]float64{}
	}
	shares.demands[entry] = max(0, demand)
	return shares
}

// WithoutReport returns the shares after an entry has not been heard for too long.
func (shares Shares) WithoutReport(entry string) Shares {
	shares.demands = maps.Clone(shares.demands)
	delete(shares.demands, entry)
	return shares
}

// WithRound returns the shares after the part followed the reports by one step.
func (shares Shares) WithRound() Shares {
	growth := ShareGrowth / float64(max(1, shares.entries))
	shares.fraction = min(shares.target(), shares.fraction+growth)
	return shares
}

// target returns the part that the reports give this entry.
//
// Entries that were heard divide their fair parts by demand.
func (shares Shares) target() float64 {
	fair := 1 / float64(max(1, shares.entries))
	own, reported := shares.demands[shares.self]
	if !reported || len(shares.demands) < 2 {
		return fair
	}
	total := 0.0
	for _, demand := range shares.demands {
		total += demand
	}
	if total == 0 {
		return fair
	}
	pool := min(1, float64(len(shares.demands))*fair)
	even := pool / float64(len(shares.demands))
	return evenFraction*even + (1-evenFraction)*pool*own/total
}
