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
// up to at most 1 + k × [ShareGrowth]: no entry's fraction exceeds the one that follows from
// the older reports by more than k × ShareGrowth / entries.
type LimitShares struct {
	self     string
	entries  int
	fraction float64
	demands  map[string]float64 // as last reported, by entry
}

// NewLimitShares returns the even division between the given number of entries, for the entry named self.
func NewLimitShares(self string, entries int) LimitShares {
	entries = max(1, entries)
	return LimitShares{self: self, entries: entries, fraction: 1 / float64(entries)}
}

// Fraction returns the fraction of the limit that this entry may use, in (0, 1].
func (limitShares LimitShares) Fraction() float64 {
	if limitShares.entries == 0 {
		return 1
	}
	return limitShares.fraction
}

// WithEntries returns the division between another number of entries; the fraction
// shrinks at once and grows with the next rounds.
func (limitShares LimitShares) WithEntries(entries int) LimitShares {
	limitShares.entries = max(1, entries)
	limitShares.fraction = min(limitShares.fraction, limitShares.target())
	return limitShares
}

// WithReport returns the shares after an entry, which may be self, reported its demand.
//
// Demands may be in any unit that all entries share.
func (limitShares LimitShares) WithReport(entry string, demand float64) LimitShares {
	limitShares.demands = maps.Clone(limitShares.demands)
	if limitShares.demands == nil {
		limitShares.demands = map[string]float64{}
	}
	limitShares.demands[entry] = max(0, demand)
	return limitShares
}

// WithoutReport returns the shares without the report of an entry that has not reported for too long.
func (limitShares LimitShares) WithoutReport(entry string) LimitShares {
	limitShares.demands = maps.Clone(limitShares.demands)
	delete(limitShares.demands, entry)
	return limitShares
}

// WithRound returns the shares after the fraction has moved one step towards its target.
func (limitShares LimitShares) WithRound() LimitShares {
	growth := ShareGrowth / float64(max(1, limitShares.entries))
	limitShares.fraction = min(limitShares.target(), limitShares.fraction+growth)
	return limitShares
}

// target returns the fraction that follows from the current reports for this entry.
//
// The entries that reported divide the sum of their even fractions by demand, except
// for evenFraction of it, which they divide evenly.
func (limitShares LimitShares) target() float64 {
	evenShare := 1 / float64(max(1, limitShares.entries))
	ownDemand, reported := limitShares.demands[limitShares.self]
	if !reported || len(limitShares.demands) < 2 {
		return evenShare
	}
	total := 0.0
	for _, demand := range limitShares.demands {
		total += demand
	}
	if total == 0 {
		return evenShare
	}
	pool := min(1, float64(len(limitShares.demands))*evenShare)
	evenPart := pool / float64(len(limitShares.demands))
	return evenFraction*evenPart + (1-evenFraction)*pool*ownDemand/total
}
