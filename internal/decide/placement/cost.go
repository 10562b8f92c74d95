package placement

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/work"
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
	// tokensPerMs converts the cost to a time, in prompt tokens per millisecond.
	tokensPerMs = 30
	// besideShare is the part of the time to read a prompt that counts for each call running beside it. Most of these have time to
	// spare.
	besideShare = 0.02
	// durationShare is the part of the time by which an answer takes longer than usual that counts as cost: it holds a slot, and slows the
	// calls beside it.
	durationShare = 0.1
	// maxDurationCost bounds that cost, in prompt tokens. It is below that of a prompt that another server has cached.
	maxDurationCost = 1500
	// lateCost is the cost of an answer that does not end before its deadline, in prompt tokens: a run that is lost.
	lateCost = 60000
	// maxLateness bounds the time of an answer as a multiple of the time left, by which lateCost grows where no server can end it.
	maxLateness = 8
	// minOwnCalls is the number of this entry's calls from which on the usual time that they have left is used.
	minOwnCalls = 8
	// minWeight and maxWeight bound how many usual calls one of this entry's calls counts for, so that wrong estimates decide little.
	minWeight = 0.25
	maxWeight = 4
)

// Cost is the expected cost of a call at a server by component, in prompt tokens.
type Cost struct {
	// Prompt is for reading the prompt and those before it.
	Prompt float64
	// Load is for the calls that run and wait at the server, and for a server without a free slot.
	Load float64
	// Beside is what the call adds to the answers that run beside it.
	Beside float64
	// Duration is for the time of the answer, and Late for an answer that may not end before its deadline.
	Duration, Late float64
	// Factor is the factor for a server that reads slowly or fails.
	Factor float64
	// Garbling is for malformed answers.
	Garbling float64
	// Counted is the cost by the number of calls alone, without learned work and paces, and without Garbling.
	Counted float64
}

// Total returns the sum of the components.
func (cost Cost) Total() float64 {
	return (cost.Prompt+cost.Load)*cost.Factor + cost.Beside + cost.Duration + cost.Late + cost.Garbling
}

// ownWork returns the usual time that this entry's calls have left in milliseconds, 0 if it has too few. It is a geometric mean, so that a
// few estimates that are far too high do not make all other calls look short.
func ownWork(candidates []Candidate) float64 {
	sum, calls := 0.0, 0.0
	for i := range candidates {
		observation := &candidates[i].Observation
		if observation.running == 0 {
			continue
		}
		running := float64(observation.running)
		sum += running * math.Log(max(1, observation.work.LeftMs()/running))
		calls += running
	}
	if calls < minOwnCalls {
		return 0
	}
	return math.Exp(sum / calls)
}

// candidateCost returns the expected cost of a call at a server, of which a number of prompt tokens are not cached there. UsualMs is the
// result of ownWork.
func candidateCost(candidate *Candidate, query Query, tokens int, usualMs float64) Cost {
	cost := soundCost(candidate, query, tokens, usualMs)
	cost.Garbling = candidate.Observation.garbling.cost(query.Now)
	return cost
}

// soundCost returns the expected cost of a call at a server without that of malformed answers. UsualMs is the result of ownWork.
//
// In a sample, the calls of other entries count only from the number of slots on. Below that, a report mostly shows
// which servers happened to be idle when it was made, and all entries would meet there.
func soundCost(candidate *Candidate, query Query, tokens int, usualMs float64) Cost {
	observation, now := &candidate.Observation, query.Now
	slots := float64(max(1, candidate.Server.Slots))
	total := observation.totalCalls(now)
	compared := total
	if query.Sample > 0 && total < slots {
		compared = observation.ownCalls(now)
	}
	cost := Cost{Prompt: float64(observation.unreadTokens + tokens)}
	cost.Factor = observation.costFactor(now) * (1 + failureCost*observation.Failures(now))
	cost.Load = loadCost(query, slots, total, compared) + float64(waitingCost*observation.waitingCalls(now))
	cost.Counted = (cost.Prompt + cost.Load) * cost.Factor
	if !query.Work.Known() {
		return cost
	}
	if extra := observation.extraCalls(usualMs); extra != 0 {
		cost.Load = loadCost(query, slots, total, max(0, compared+extra)) + float64(waitingCost*observation.waitingCalls(now))
		if total >= slots {
			cost.Load += fullCost * extra / slots
		}
	}
	read := observation.work.Read.Factor(now)
	if !query.Engine {
		cost.Factor *= plainPace(read, query.Draw, candidate.Server.ID)
		return cost
	}
	cost.Factor *= read
	cost.Beside = besideShare * float64(tokens) * read * total
	return cost.withAnswer(query, observation.work.DecodeFactor(now))
}

// loadCost returns the cost of the calls at a server, of which compared count among all.
func loadCost(query Query, slots, total, compared float64) float64 {
	cost := runningCost * compared
	if !query.Engine {
		cost = plainCost * (compared + 1) / slots
	}
	if total >= slots {
		cost += fullCost * total / slots
	}
	return cost
}

// withAnswer returns the cost with that of the answer's time, which depends on the server's pace, up to the deadline and beyond it.
func (cost Cost) withAnswer(query Query, pace float64) Cost {
	usualMs := query.Work.LeftMs(0)
	expectedMs := usualMs * pace
	if query.TimeLeft <= 0 {
		cost.Duration = durationCost(usualMs, pace)
		return cost
	}
	leftMs := float64(query.TimeLeft) / float64(time.Millisecond)
	// An answer holds a slot until its deadline at most. The mean of a wide spread may be far above that, and would outweigh any load.
	cost.Duration = durationCost(min(usualMs, leftMs), pace)
	headMs := (cost.Prompt + cost.Load) * cost.Factor / tokensPerMs
	lateness := min(max(1, (headMs+expectedMs)/leftMs), maxLateness)
	cost.Late = lateCost * lateness * query.Work.LateAfter(leftMs-headMs, pace)
	return cost
}

// durationCost returns the cost of the time by which an answer takes longer than usual at a server with a pace, negative for less time.
//
// It is bounded, since a server is also slow while it reads many prompts. Where all servers are busy, calls would otherwise leave
// those that have their prompts cached, and every prompt would be read again.
func durationCost(usualMs, pace float64) float64 {
	return min(max(durationShare*tokensPerMs*usualMs*(pace-1), -maxDurationCost), maxDurationCost)
}

// plainPace returns the factor for the pace of a plain server: its pace for such a part of the calls that a server which takes twice as
// long gets half as many. If it counted for all calls, entries that know the paces would all meet at the fastest server.
func plainPace(pace, draw float64, id string) float64 {
	if pace <= 1 {
		return 1
	}
	random := rand.New(rand.NewPCG(math.Float64bits(draw), xxhash.Sum64String(id)))
	if random.Float64() < 1/pace {
		return 1
	}
	return pace
}

// extraCalls returns by how many usual calls this entry's calls count for more, or less, than their number.
func (observation Observation) extraCalls(usualMs float64) float64 {
	if usualMs <= 0 || observation.running == 0 {
		return 0
	}
	running := float64(observation.running)
	weight := observation.work.LeftMs() / usualMs / running
	return running * (min(max(weight, minWeight), maxWeight) - 1)
}

// WithWork returns the observation after a change of what is known of the work at the server.
func (observation Observation) WithWork(change func(work.Server) work.Server) Observation {
	observation.work = change(observation.work)
	return observation
}

// Work returns what is known of the work at the server.
func (observation Observation) Work() work.Server { return observation.work }
