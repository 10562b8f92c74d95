package account

import "maps"

const (
	// ShareGrowth is the fraction of a limit by which all entries' fractions together may grow in one round.
	//
	// An entry's fraction shrinks at once and grows slowly, so that entries whose reports
	// are k rounds apart exceed the limit by at most k times this value. A larger value
	// follows demand faster and overshoots further.
	ShareGrowth = 0.2
	// evenFraction is the fraction of a limit that is divided evenly regardless of demand,
	// so that an entry whose first request arrives between two rounds can accept it.
	evenFraction = 0.1
)

// LimitShares divides a limit of one client account between the entries by their demand.
//
// The fractions of all entries add up to 1 when they have received the same reports. An
// entry that has not reported keeps an even fraction, so an entry without reports from
// peers has 1/entries. When the entries' reports differ by k rounds, the fractions add
// up to at most 1 + k × [ShareGrowth]: none exceeds its fraction by the older reports by
// more than k × ShareGrowth / entries.
type Shares struct {
	self     string
	entries  int
	fraction float64
	demands  map[string]float64
}

// NewShares returns the even division between that many entries, for the entry named self.
func NewShares(self string, entries int) Shares {
	entries = max(1, entries)
	return Shares{self: self, entries: entries, fraction: 1 / float64(entries)}
}

// Fraction returns the fraction of the limit that this entry may use, in (0, 1].
func (shares Shares) Part() float64 {
	if shares.entries == 0 {
		return 1
	}
	return shares.fraction
}

// WithEntries returns the division between another number of entries; the fraction
// shrinks at once and grows with the next rounds.
func (shares Shares) WithEntries(entries int) Shares {
	shares.entries = max(1, entries)
	shares.fraction = min(shares.fraction, shares.target())
	return shares
}

// WithReport returns the shares after an entry, which may be self, reported its demand.
//
// Demands may be in any unit that all entries share.
func (shares Shares) WithReport(entry string, demand float64) Shares {
	shares.demands = maps.Clone(shares.demands)
	if shares.demands == nil {
		shares.demands = map[string]float64{}
	}
	shares.demands[entry] = max(0, demand)
	return shares
}

// WithoutReport returns the shares without the report of an entry, which has not reported for too long.
func (shares Shares) WithoutReport(entry string) Shares {
	shares.demands = maps.Clone(shares.demands)
	delete(shares.demands, entry)
	return shares
}

// WithRound returns the shares after the fraction has moved one step towards its target.
func (shares Shares) WithRound() Shares {
	growth := ShareGrowth / float64(max(1, shares.entries))
	shares.fraction = min(shares.target(), shares.fraction+growth)
	return shares
}

// target returns the fraction that this entry has by the current reports.
//
// The entries that reported divide the sum of their even fractions by demand, except
// for evenFraction of it, which they divide evenly.
func (shares Shares) target() float64 {
	evenShare := 1 / float64(max(1, shares.entries))
	ownDemand, reported := shares.demands[shares.self]
	if !reported || len(shares.demands) < 2 {
		return evenShare
	}
	total := 0.0
	for _, demand := range shares.demands {
		total += demand
	}
	if total == 0 {
		return evenShare
	}
	pool := min(1, float64(len(shares.demands))*evenShare)
	guaranteed := pool / float64(len(shares.demands))
	return evenFraction*guaranteed + (1-evenFraction)*pool*ownDemand/total
}
