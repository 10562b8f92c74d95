package account

import "maps"

const (
	// ShareGrowth is the part of a limit by which all entries together may grow in one round.
	//
	// An entry shrinks at once and grows slowly, so that entries whose reports are k
	// rounds apart exceed the limit by at most k times this part. A larger value
	// follows demand faster and overshoots further.
	ShareGrowth = 0.2
	// fairPart is the part of a limit that is divided evenly whatever the demand, so
	// that an entry whose first request arrives between two rounds can accept it.
	fairPart = 0.1
)

// LimitShares divides a limit of one client account between the entries by their demand.
//
// The parts of all entries add up to 1 when they know the same reports. An entry
// that was not heard keeps its fair part, so an entry that hears no peer has
// 1/Entries. When views differ by k rounds, the parts add up to at most
// 1 + k × [ShareGrowth]: none exceeds its part of the older view by more than
// k × ShareGrowth / Entries.
type LimitShares struct {
	self    string
	entries int
	part    float64
	demands map[string]float64
}

// NewShares returns the fair division between that many entries, as the entry self sees it.
func NewShares(self string, entries int) LimitShares {
	entries = max(1, entries)
	return LimitShares{self: self, entries: entries, part: 1 / float64(entries)}
}

// Fraction returns the part of the limit that this entry may use, in (0, 1].
func (limitShares LimitShares) Fraction() float64 {
	if limitShares.entries == 0 {
		return 1
	}
	return limitShares.part
}

// WithEntries returns the division between another number of entries; the part shrinks at once and grows with the next rounds.
func (limitShares LimitShares) WithEntries(entries int) LimitShares {
	limitShares.entries = max(1, entries)
	limitShares.part = min(limitShares.part, limitShares.target())
	return limitShares
}

// WithReport returns the shares after an entry, which may be self, reported its demand.
//
// Demands are in any unit that is the same for all entries.
func (limitShares LimitShares) WithReport(entry string, demand float64) LimitShares {
	limitShares.demands = maps.Clone(limitShares.demands)
	if limitShares.demands == nil {
		limitShares.demands = map[string]float64{}
	}
	limitShares.demands[entry] = max(0, demand)
	return limitShares
}

// WithoutReport returns the shares after an entry has not been heard for too long.
func (limitShares LimitShares) WithoutReport(entry string) LimitShares {
	limitShares.demands = maps.Clone(limitShares.demands)
	delete(limitShares.demands, entry)
	return limitShares
}

// WithRound returns the shares after the part followed the reports by one step.
func (limitShares LimitShares) WithRound() LimitShares {
	growth := ShareGrowth / float64(max(1, limitShares.entries))
	limitShares.part = min(limitShares.target(), limitShares.part+growth)
	return limitShares
}

// target returns the part that the reports give this entry.
//
// Entries that were heard divide their fair parts by demand.
func (limitShares LimitShares) target() float64 {
	fair := 1 / float64(max(1, limitShares.entries))
	own, reported := limitShares.demands[limitShares.self]
	if !reported || len(limitShares.demands) < 2 {
		return fair
	}
	total := 0.0
	for _, demand := range limitShares.demands {
		total += demand
	}
	if total == 0 {
		return fair
	}
	pool := min(1, float64(len(limitShares.demands))*fair)
	even := pool / float64(len(limitShares.demands))
	return fairPart*even + (1-fairPart)*pool*own/total
}
