package placement

import (
	"iter"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/work"
)

// Reason is the reason for a choice.
type Reason string

// The reasons for a choice.
const (
	// ReasonCacheAffinity is for the preferred server, if it has the lowest cost.
	ReasonCacheAffinity Reason = "Home"
	// ReasonLeastCost is for any other server with the lowest cost.
	ReasonLeastCost Reason = "LeastCost"
	// ReasonOnlyDown is for a server that could not be reached recently, chosen because all candidates are such.
	ReasonOnlyDown Reason = "OnlyDown"
	// ReasonGarbling is for a server with many malformed answers, chosen because the others garble too or are much busier.
	ReasonGarbling Reason = "Garbling"
	// ReasonNoCandidate is the reason if no server is chosen, and ReasonAllClosed if some were not since they have asked for
	// no calls.
	ReasonNoCandidate Reason = "NoCandidate"
	ReasonAllClosed   Reason = "AllClosed"
)

const (
	// garblingSampleFactor is the multiple of a sample that is compared if all servers of the sample garble. Where a third of the servers
	// do, all three of a sample garble once in 25 calls. Not all servers are compared, since entries would meet at the idle ones.
	garblingSampleFactor = 3
)

// Candidate is a server with the entry's observation of it.
type Candidate struct {
	Server      directory.Server
	Observation Observation
}

// Query holds the properties of the call for which a server is chosen.
type Query struct {
	Now    time.Duration
	Prompt call.Prompt
	// Engine reports whether the candidates are model engines.
	Engine bool
	// Tried are the ids of the servers of earlier attempts.
	Tried []string
	// Draw is a random number in [0, 1) that determines which of several servers of equal cost is chosen.
	Draw float64
	// Sample is the number of servers at random that are compared besides the preferred ones, 0 for all servers.
	//
	// Where many calls arrive in the time that reports take, all entries would choose the same few servers, which the
	// reports show as idle. Compared in small samples, these get not much more than their share.
	Sample int
	// Work is the estimated amount of the call. If it is unknown, learned work and paces do not count.
	Work work.Estimate
	// TimeLeft is the time until the call's deadline, 0 for none.
	TimeLeft time.Duration
}

// Choice is the server chosen for a call.
type Choice struct {
	Server directory.Server
	Reason Reason
	// UncachedTokens is the expected number of prompt tokens that the server has not cached.
	UncachedTokens int
	// Cost is the expected cost, in prompt tokens, and Costs has its components.
	Cost  float64
	Costs Cost
	// Instead is the id of the server that would have been chosen by the number of calls alone ([Cost.Counted]), empty if it is the
	// same one.
	Instead string
	// Wait is the time until the first server takes calls again, with ReasonAllClosed.
	Wait time.Duration
	// PassedOver is the id of the server that would have been chosen if not so many of its answers were malformed, empty
	// for none, and PassedOverPart is the estimated part of its answers that are.
	PassedOver     string
	PassedOverPart float64
}

// Choose returns the server with the lowest expected cost, or false if all candidates were tried or have asked for no calls, or
// there are none.
//
// A server that could not be reached recently is chosen only if no other candidate is left, and one with many malformed
// answers if the others garble as much or are much busier. With a sample, only the preferred servers and some at random are
// compared, more of them if all of these garble, unless none of them can take the call.
func Choose(candidates []Candidate, query Query) (Choice, bool) {
	preferred, usualMs := preferredServers(candidates, query.Prompt), ownWork(candidates)
	for _, size := range []int{query.Sample, garblingSampleFactor * query.Sample} {
		if size == 0 || size+len(preferred) >= len(candidates) {
			break
		}
		choice, found := best(candidates, sample(len(candidates), size, query.Draw, preferred), query, preferred, usualMs)
		if found && choice.Reason != ReasonOnlyDown && (choice.Reason != ReasonGarbling || size > query.Sample) {
			return choice, true
		}
	}
	return best(candidates, rotation(len(candidates), query.Draw), query, preferred, usualMs)
}

// best returns the candidate with the lowest cost among those with the given indexes, the first of several.
func best(candidates []Candidate, indexes iter.Seq[int], query Query, preferred []int, usualMs float64) (Choice, bool) {
	best := Choice{Reason: ReasonNoCandidate}
	found, bestDown := false, false
	var passedOver passedOver
	var counted countedChoice
	for index := range indexes {
		candidate := &candidates[index]
		if slices.Contains(query.Tried, candidate.Server.ID) {
			continue
		}
		if wait := candidate.Observation.ClosedUntil() - query.Now; wait > 0 {
			if !found && (best.Reason != ReasonAllClosed || wait < best.Wait) {
				best = Choice{Reason: ReasonAllClosed, Wait: wait}
			}
			continue
		}
		down := candidate.Observation.Down(query.Now)
		isPreferred := len(preferred) > 0 && preferred[0] == index
		tokens := uncachedTokens(query.Prompt, isPreferred)
		costs := candidateCost(candidate, query, tokens, usualMs)
		cost := costs.Total()
		if costs.Garbling > 0 && !down {
			passedOver = passedOver.withCandidate(candidate, cost-costs.Garbling)
		}
		counted = counted.withCandidate(candidate, costs.Counted+costs.Garbling, down)
		if found && !isBetter(down, cost, bestDown, best.Cost) {
			continue
		}
		found, bestDown = true, down
		best = Choice{Server: candidate.Server, Reason: reasonOf(down, costs, isPreferred), UncachedTokens: tokens, Cost: cost, Costs: costs}
	}
	return counted.addTo(passedOver.addTo(best, query.Now)), found
}

// isBetter reports whether a server is chosen before another one, by whether each is down and its cost.
func isBetter(down bool, cost float64, otherDown bool, otherCost float64) bool {
	if down != otherDown {
		return otherDown
	}
	return cost < otherCost
}

// reasonOf returns the reason for the choice of a server. That it is down or garbles goes before cache affinity.
func reasonOf(down bool, costs Cost, isPreferred bool) Reason {
	switch {
	case down:
		return ReasonOnlyDown
	case costs.Garbling > 0:
		return ReasonGarbling
	case isPreferred:
		return ReasonCacheAffinity
	}
	return ReasonLeastCost
}

// countedChoice is the candidate that is chosen by the number of calls alone, nil for none.
type countedChoice struct {
	candidate *Candidate
	cost      float64
	down      bool
}

// withCandidate returns the value after another candidate.
func (countedChoice countedChoice) withCandidate(candidate *Candidate, cost float64, down bool) countedChoice {
	if countedChoice.candidate != nil && !isBetter(down, cost, countedChoice.down, countedChoice.cost) {
		return countedChoice
	}
	countedChoice.candidate, countedChoice.cost, countedChoice.down = candidate, cost, down
	return countedChoice
}

// addTo returns a choice with the server that would have been chosen instead.
func (countedChoice countedChoice) addTo(choice Choice) Choice {
	if countedChoice.candidate != nil && countedChoice.candidate.Server.ID != choice.Server.ID {
		choice.Instead = countedChoice.candidate.Server.ID
	}
	return choice
}

// passedOver is the garbling candidate with the lowest cost apart from its garbling, nil for none.
type passedOver struct {
	candidate *Candidate
	cost      float64
}

// withCandidate returns the value after another garbling candidate.
func (passedOver passedOver) withCandidate(candidate *Candidate, cost float64) passedOver {
	if passedOver.candidate == nil || cost < passedOver.cost {
		passedOver.candidate, passedOver.cost = candidate, cost
	}
	return passedOver
}

// addTo returns a choice with the server that it passes over.
func (passedOver passedOver) addTo(choice Choice, now time.Duration) Choice {
	if passedOver.candidate == nil || passedOver.candidate.Server.ID == choice.Server.ID || passedOver.cost >= choice.Cost {
		return choice
	}
	choice.PassedOver, choice.PassedOverPart = passedOver.candidate.Server.ID, passedOver.candidate.Observation.MalformedPart(now)
	return choice
}

// rotation returns all indexes below count, beginning at the one that draw selects.
func rotation(count int, draw float64) iter.Seq[int] {
	return func(yield func(int) bool) {
		offset := int(draw * float64(count))
		for i := range count {
			if !yield((i + offset) % count) {
				return
			}
		}
	}
}

// sample returns the indexes of the preferred servers and of a number of others, which draw selects.
func sample(count, size int, draw float64, preferred []int) iter.Seq[int] {
	return func(yield func(int) bool) {
		for _, index := range preferred {
			if !yield(index) {
				return
			}
		}
		random := rand.New(rand.NewPCG(math.Float64bits(draw), uint64(count)))
		for range size {
			if !yield(random.IntN(count)) {
				return
			}
		}
	}
}

// uncachedTokens returns the expected number of prompt tokens that a server, which may be the preferred one,
// has not cached.
//
// At the preferred server, only the last part of the prompt is not cached. Other servers
// are expected to have cached the first of several shared parts, since many prompts
// begin with it.
func uncachedTokens(prompt call.Prompt, preferred bool) int {
	total := 0
	for _, part := range prompt.Parts {
		total += part.Tokens
	}
	total = max(total, prompt.Input)
	switch count := len(prompt.Parts); {
	case count < 2:
		return total
	case preferred:
		return prompt.Parts[count-1].Tokens
	case count > 2:
		return total - prompt.Parts[0].Tokens
	}
	return total
}

// preferredServers returns the indexes of the servers at which every entry expects the shared parts of the prompt to be
// cached, the first one first. There are none if the prompt has no shared parts.
//
// The second one takes the prompts for which the first one is too busy, so that they meet at one server.
func preferredServers(candidates []Candidate, prompt call.Prompt) []int {
	key := affinityKey(prompt)
	if key == "" || len(candidates) == 0 {
		return nil
	}
	first, second := -1, -1
	var firstSum, secondSum uint64
	var digest xxhash.Digest
	for i := range candidates {
		digest.Reset()
		// Digest writes return no errors.
		_, _ = digest.WriteString(key)
		_, _ = digest.WriteString(candidates[i].Server.ID)
		switch sum := digest.Sum64(); {
		case first < 0 || sum > firstSum:
			second, secondSum = first, firstSum
			first, firstSum = i, sum
		case second < 0 || sum > secondSum:
			second, secondSum = i, sum
		}
	}
	if second < 0 {
		return []int{first}
	}
	return []int{first, second}
}

// affinityKey returns the id of the last part of the prompt that other requests may share, empty for none.
//
// The last part of a prompt is expected to differ between requests, so that is the part before it.
func affinityKey(prompt call.Prompt) string {
	if len(prompt.Parts) < 2 {
		return ""
	}
	return prompt.Parts[len(prompt.Parts)-2].ID
}
