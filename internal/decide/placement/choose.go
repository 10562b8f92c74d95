package placement

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
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
	// ReasonNoCandidate is the reason if no server is chosen.
	ReasonNoCandidate Reason = "NoCandidate"
)

const (
	// runningCost is the cost that a running call adds to another one at the same engine, in prompt tokens.
	runningCost = 20
	// waitingCost is the cost that a call waiting for a slot adds to another one, in prompt tokens.
	waitingCost = 4000
	// plainCost is the cost of a call to a plain service, in place of the tokens of a prompt.
	plainCost = 1000
	// failureCost is the multiple of a server's cost that each recent failure adds to the cost.
	failureCost = 1.5
	// fullCost is the additional cost of a server without a free slot, in prompt tokens.
	fullCost = 8000
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
}

// Choice is the server chosen for a call.
type Choice struct {
	Server directory.Server
	Reason Reason
	// UncachedTokens is the expected number of prompt tokens that the server has not cached.
	UncachedTokens int
	// Cost is the expected cost, in prompt tokens.
	Cost float64
}

// Choose returns the server with the lowest expected cost, or false if all candidates were tried or there
// are none.
//
// A server that could not be reached recently is chosen only if no other candidate is left.
func Choose(candidates []Candidate, query Query) (Choice, bool) {
	best := Choice{Reason: ReasonNoCandidate}
	found, bestDown := false, false
	preferred := preferredServer(candidates, query.Prompt)
	offset := int(query.Draw * float64(len(candidates)))
	for i := range candidates {
		index := (i + offset) % len(candidates)
		candidate := &candidates[index]
		if slices.Contains(query.Tried, candidate.Server.ID) {
			continue
		}
		down := candidate.Observation.Down(query.Now)
		tokens := uncachedTokens(query.Prompt, candidate.Server.ID == preferred)
		cost := cost(candidate, query, tokens)
		if found && (down && !bestDown || down == bestDown && cost >= best.Cost) {
			continue
		}
		found, bestDown = true, down
		best = Choice{Server: candidate.Server, Reason: ReasonLeastCost, UncachedTokens: tokens, Cost: cost}
		switch {
		case down:
			best.Reason = ReasonOnlyDown
		case candidate.Server.ID == preferred:
			best.Reason = ReasonCacheAffinity
		}
	}
	return best, found
}

// cost returns the expected time to the first token, in prompt tokens.
func cost(candidate *Candidate, query Query, tokens int) float64 {
	observation := candidate.Observation
	total := observation.totalCalls(query.Now)
	cost := float64(observation.unreadTokens + tokens + waitingCost*observation.waitingCalls(query.Now))
	if query.Engine {
		cost += float64(runningCost * total)
	} else {
		cost += plainCost * float64(total+1) / float64(max(1, candidate.Server.Slots))
	}
	if total >= max(1, candidate.Server.Slots) {
		cost += fullCost
	}
	return cost * observation.costFactor(query.Now) * (1 + failureCost*observation.Failures(query.Now))
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

// preferredServer returns the id of the server at which every entry expects the shared parts of the prompt to be
// cached, empty if the prompt has no shared parts or there are no candidates.
func preferredServer(candidates []Candidate, prompt call.Prompt) string {
	key := affinityKey(prompt)
	if key == "" {
		return ""
	}
	preferred, highest := "", uint64(0)
	var digest xxhash.Digest
	for i := range candidates {
		digest.Reset()
		// Digest writes return no errors.
		_, _ = digest.WriteString(key)
		_, _ = digest.WriteString(candidates[i].Server.ID)
		if sum := digest.Sum64(); preferred == "" || sum > highest {
			preferred, highest = candidates[i].Server.ID, sum
		}
	}
	return preferred
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
