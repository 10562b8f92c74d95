package placement

import (
	"cmp"
	"slices"
	"time"
)

// Ranked is a candidate with its expected cost.
type Ranked struct {
	Candidate
	Costs Cost
	// UncachedTokens is as in [Choice].
	UncachedTokens int
	// Preferred reports whether the shared parts of the prompt are expected to be cached there.
	Preferred bool
	Down      bool
	// ClosedFor is the time for which the server has asked for no calls, 0 or less for none.
	ClosedFor time.Duration
}

// Rank returns all candidates that were not tried with their costs, as [Choose] compares them, the lowest one first. Servers that are down
// or closed come last.
func Rank(candidates []Candidate, query Query) []Ranked {
	preferred, usualMs := preferredServers(candidates, query.Prompt), ownWork(candidates)
	ranked := make([]Ranked, 0, len(candidates))
	for i := range candidates {
		candidate := &candidates[i]
		if slices.Contains(query.Tried, candidate.Server.ID) {
			continue
		}
		isPreferred := len(preferred) > 0 && preferred[0] == i
		tokens := uncachedTokens(query.Prompt, isPreferred)
		ranked = append(ranked, Ranked{
			Candidate: *candidate, Costs: candidateCost(candidate, query, tokens, usualMs), UncachedTokens: tokens, Preferred: isPreferred,
			Down: candidate.Observation.Down(query.Now), ClosedFor: candidate.Observation.ClosedUntil() - query.Now,
		})
	}
	slices.SortStableFunc(ranked, func(a, b Ranked) int {
		return cmp.Or(cmp.Compare(a.unavailability(), b.unavailability()), cmp.Compare(a.Costs.Total(), b.Costs.Total()))
	})
	return ranked
}

// unavailability returns 0 for a server that takes calls, and more for one that is down or has asked for none.
func (ranked Ranked) unavailability() int {
	switch {
	case ranked.ClosedFor > 0:
		return 2
	case ranked.Down:
		return 1
	}
	return 0
}
