package placement

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
)

// Reason says why a server was chosen.
type Reason string

// The reasons of a choice.
const (
	ReasonCacheAffinity Reason = "Home"
	ReasonLeastCost     Reason = "LeastCost"
	ReasonOnlyDown      Reason = "OnlyDown"
	ReasonNoCandidate   Reason = "NoCandidate"
)

const (
	// runningCost is what a call that generates costs another one, in prompt tokens.
	runningCost = 20
	// waitingCost is what a call that waits for a slot costs, in prompt tokens.
	waitingCost = 4000
	// plainCost stands for the tokens of a call to a plain service.
	plainCost = 1000
	// failureCost is the factor that each recent failure adds to the cost.
	failureCost = 1.5
	// fullCost is the cost of a server without a free slot, in prompt tokens.
	fullCost = 8000
)

// Candidate is a server with what is known of it.
type Candidate struct {
	Server      directory.Server
	Observation Observation
}

// Query is what a choice is made for.
type Query struct {
	Now    time.Duration
	Prompt call.Prompt
	// Engine reports that the candidates are model engines.
	Engine bool
	// Tried names the servers of earlier tries.
	Tried []string
	// Draw is a random number in [0, 1), which decides between equals.
	Draw float64
}

// Choice is the server chosen for a call.
type Choice struct {
	Server directory.Server
	Reason Reason
	// UncachedTokens is the number of prompt tokens that the server is expected to read.
	UncachedTokens int
	// Cost is the expected cost, in prompt tokens.
	Cost float64
}

// Choose returns the server at which the call is expected to begin first.
//
// Servers that were not reached lately are taken only when no other is left.
func Choose(candidates []Candidate, query Query) (Choice, bool) {
	best := Choice{Reason: ReasonNoCandidate}
	found, bestDown := false, false
	home := homeOf(candidates, query.Prompt)
	offset := int(query.Draw * float64(len(candidates)))
	for i := range candidates {
		at := (i + offset) % len(candidates)
		candidate := &candidates[at]
		if slices.Contains(query.Tried, candidate.Server.ID) {
			continue
		}
		down := candidate.Observation.Down(query.Now)
		unread := unread(query.Prompt, candidate.Server.ID == home)
		cost := cost(candidate, query, unread)
		if found && (down && !bestDown || down == bestDown && cost >= best.Cost) {
			continue
		}
		found, bestDown = true, down
		best = Choice{Server: candidate.Server, Reason: ReasonLeastCost, UncachedTokens: unread, Cost: cost}
		switch {
		case down:
			best.Reason = ReasonOnlyDown
		case candidate.Server.ID == home:
			best.Reason = ReasonCacheAffinity
		}
	}
	return best, found
}

// cost is the expected wait for the first token, in prompt tokens.
func cost(candidate *Candidate, query Query, unread int) float64 {
	observation := candidate.Observation
	total := observation.total(query.Now)
	cost := float64(observation.unread + unread + waitingCost*observation.waiting(query.Now))
	if query.Engine {
		cost += float64(runningCost * total)
	} else {
		cost += plainCost * float64(total+1) / float64(max(1, candidate.Server.Slots))
	}
	if total >= max(1, candidate.Server.Slots) {
		cost += fullCost
	}
	return cost * observation.drag(query.Now) * (1 + failureCost*observation.Failures(query.Now))
}

// unread returns the prompt tokens that a server has to read.
//
// At the home of the prompt's shared parts, only the last part is new. Elsewhere
// the first of several shared parts is expected, since many prompts begin with it.
func unread(prompt call.Prompt, home bool) int {
	total := 0
	for _, part := range prompt.Parts {
		total += part.Tokens
	}
	total = max(total, prompt.Input)
	switch count := len(prompt.Parts); {
	case count < 2:
		return total
	case home:
		return prompt.Parts[count-1].Tokens
	case count > 2:
		return total - prompt.Parts[0].Tokens
	}
	return total
}

// homeOf returns the server that every entry expects the shared parts of the prompt at.
func homeOf(candidates []Candidate, prompt call.Prompt) string {
	key := homeKey(prompt)
	if key == "" {
		return ""
	}
	home, highest := "", uint64(0)
	var digest xxhash.Digest
	for i := range candidates {
		digest.Reset()
		// Digest writes return no errors.
		_, _ = digest.WriteString(key)
		_, _ = digest.WriteString(candidates[i].Server.ID)
		if sum := digest.Sum64(); home == "" || sum > highest {
			home, highest = candidates[i].Server.ID, sum
		}
	}
	return home
}

// homeKey returns the last part that requests share, empty for none.
func homeKey(prompt call.Prompt) string {
	if len(prompt.Parts) < 2 {
		return ""
	}
	return prompt.Parts[len(prompt.Parts)-2].ID
}
