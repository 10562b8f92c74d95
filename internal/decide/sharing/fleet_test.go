package sharing_test

import (
	"math/rand/v2"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/sharing"
)

const (
	service = "engines"
	step    = 10 * time.Millisecond
	round   = 500 * time.Millisecond
	// delayRounds is the age of the figures of other entries, in rounds.
	delayRounds = 2
	// deadline is the time after which a caller gives up.
	deadline = 3 * time.Second
	// cutOffAt is when entries are cut off from the others, before the lack of capacity begins.
	cutOffAt = 8 * time.Second
	// meanWork and slotTime are the mean work of a call and the time that it takes in a slot.
	meanWork = 1000.0
	slotTime = 400 * time.Millisecond
)

// fleet plays calls of several classes at entries before servers with a number of slots, which take the calls in the order in
// which they arrive.
type fleet struct {
	entries int
	classes []sharing.Class
	// calls is the number of calls of a class a second, and slots that of the servers, at a time.
	calls func(class sharing.Class, at time.Duration) float64
	slots func(at time.Duration) int
	// cutOff is the number of entries that neither send figures nor receive any from cutOffAt on.
	cutOff int
	// unlimited admits all calls.
	unlimited bool
}

// counts is what became of the calls of a class that were made in a span of time. Large ones are the largest tenth.
type counts struct{ asked, served, rejected, largeAsked, largeServed int }

// sum returns the counts of the classes that are selected.
func (results results) sum(selects func(class sharing.Class) bool) counts {
	sum := counts{}
	for class, counted := range results {
		if selects(class) {
			sum.asked, sum.served, sum.rejected = sum.asked+counted.asked, sum.served+counted.served, sum.rejected+counted.rejected
			sum.largeAsked, sum.largeServed = sum.largeAsked+counted.largeAsked, sum.largeServed+counted.largeServed
		}
	}
	return sum
}

// share returns the part of the calls that was served.
func (counts counts) share() float64 { return float64(counts.served) / float64(max(1, counts.asked)) }

// sentCall is one that waits for a slot or runs in one.
type sentCall struct {
	entry  int
	class  sharing.Class
	work   float64
	sentAt time.Duration
	endsAt time.Duration
}

// span is a span of time, and results are the counts of each class for calls that were made in it.
type (
	span    struct{ from, until time.Duration }
	results map[sharing.Class]counts
)

// run plays the fleet for a time and returns the results of each span.
func (fleet fleet) run(seed uint64, length time.Duration, spans ...span) []results {
	random := rand.New(rand.NewPCG(seed, 1))
	states := make([]sharing.State, fleet.entries)
	found := make([]results, len(spans))
	for i := range found {
		found[i] = results{}
	}
	var queue, running []sentCall
	var history [][]map[uint32]float64
	count := func(c sentCall, change func(*counts)) {
		for i, span := range spans {
			if c.sentAt >= span.from && c.sentAt < span.until {
				counted := found[i][c.class]
				change(&counted)
				found[i][c.class] = counted
			}
		}
	}
	const largeWork = 2.3 * meanWork // Exceeded by a tenth of exponential sizes.
	for at := time.Duration(0); at < length; at += step {
		now := time.Minute + at
		if at%round == 0 {
			history = append(history, fleet.exchange(states, history, fleet.slots(at), now))
		}
		for _, class := range fleet.classes {
			for mean := fleet.calls(class, at) * step.Seconds(); random.Float64() < mean; mean-- {
				arrived := sentCall{entry: random.IntN(fleet.entries), class: class, work: meanWork * random.ExpFloat64(), sentAt: at}
				state := states[arrived.entry].WithAsked(class, arrived.work, now)
				large := arrived.work > largeWork
				admitted := fleet.unlimited || random.Float64() < state.Plan().Part(class)
				count(arrived, func(counts *counts) {
					counts.asked++
					if large {
						counts.largeAsked++
					}
					if !admitted {
						counts.rejected++
					}
				})
				if admitted {
					state = state.WithStart()
					queue = append(queue, arrived)
				}
				states[arrived.entry] = state
			}
		}
		running = fleet.end(running, states, at, now)
		for len(queue) > 0 && len(running) < fleet.slots(at) {
			next := queue[0]
			queue = queue[1:]
			if at-next.sentAt > deadline {
				states[next.entry] = states[next.entry].WithEnd(next.work, false, now)
				continue
			}
			next.endsAt = at + time.Duration(next.work/meanWork*float64(slotTime))
			running = append(running, next)
			count(next, func(counts *counts) {
				counts.served++
				if next.work > largeWork {
					counts.largeServed++
				}
			})
		}
	}
	return found
}

// end ends the calls whose time has come, and returns the others.
func (fleet fleet) end(running []sentCall, states []sharing.State, at, now time.Duration) []sentCall {
	var left []sentCall
	for _, c := range running {
		if c.endsAt > at {
			left = append(left, c)
			continue
		}
		states[c.entry] = states[c.entry].WithEnd(c.work, true, now)
	}
	return left
}

// exchange makes new plans at all entries, by the figures of the others, and returns the figures of this round.
func (fleet fleet) exchange(states []sharing.State, history [][]map[uint32]float64, slots int, now time.Duration) []map[uint32]float64 {
	figures := make([]map[uint32]float64, fleet.entries)
	sums := map[uint32]float64{}
	var old []map[uint32]float64
	if len(history) >= delayRounds {
		old = history[len(history)-delayRounds]
	}
	for i := range old {
		if i < fleet.cutOff && now >= time.Minute+cutOffAt {
			continue
		}
		for key, figure := range old[i] {
			sums[key] += figure
		}
	}
	for i := range states {
		figures[i] = map[uint32]float64{}
		isCutOff := i < fleet.cutOff && now >= time.Minute+cutOffAt
		states[i].Figures(service, now, figures[i])
		others := map[uint32]float64{}
		if !isCutOff && old != nil {
			for key, figure := range sums {
				others[key] = figure - old[i][key]
			}
		}
		states[i] = states[i].WithOthers(service, others, sharing.Scope{Classes: fleet.classes, Target: time.Second}, slots, now)
	}
	return figures
}
