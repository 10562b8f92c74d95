package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/quota"
)

// fleet plays one client account at several entries, which receive each other's totals through aggregators.
type fleet struct {
	// rate and burst are the limit, and offered is what the account asks for at a time, per second.
	rate, burst float64
	offered     func(at time.Duration) float64
	// meanSize is the mean size of a request.
	meanSize float64
	// entries is their number, and skew how unevenly the requests are spread over them: with 0, evenly.
	entries int
	skew    float64
	// round is the time between reports, and hops how many rounds a report takes.
	round time.Duration
	hops  int
	// restartEvery is the time between restarts of single entries, 0 for none. Each third restart is that of the
	// aggregator, after which all entries receive the others' totals from another one.
	restartEvery time.Duration
	// window is the rule that the buckets know, and lateness how long after its first report an aggregator that replaces
	// another one has heard of all entries, of which it counts what they admit from then on. It is replaced at changesAt.
	window    quota.Window
	changesAt []time.Duration
	lateness  time.Duration
	// cutOff is the number of entries that receive no reports and send none from cutOffAt on, for a time of cutOffFor.
	cutOff              int
	cutOffAt, cutOffFor time.Duration
	// startsUnsynced reports that all entries start when the account begins to ask.
	startsUnsynced bool
}

// delay is the mean time that a report takes.
func (fleet fleet) delay() time.Duration {
	return time.Duration(fleet.hops)*fleet.round + fleet.round/2
}

// roundsOf returns the time between reports and the rounds that one takes among a number of entries, see package share.
func roundsOf(entries int) (round time.Duration, hops int) {
	if entries <= 12 {
		return 250 * time.Millisecond, 1
	}
	return 500 * time.Millisecond, 2
}

// syncTime is the time after which a restarted entry has the rates of the others.
const syncTime = 1200 * time.Millisecond

// step is what the account asked for and what all entries admitted in one step.
type step struct{ asked, admitted float64 }

const stepLength = 10 * time.Millisecond

// run plays the account for a time and returns its steps.
func (fleet fleet) run(random *rand.Rand, length time.Duration) []step {
	buckets := make([]quota.Bucket, fleet.entries)
	weights, sum := make([]float64, fleet.entries), 0.0
	for i := range buckets {
		buckets[i] = quota.New(fleet.rate, fleet.burst, 0).Refilled(time.Minute).WithDelay(fleet.delay()).WithWindow(fleet.window)
		weights[i] = 1 + fleet.skew*random.ExpFloat64()*random.ExpFloat64()
		sum += weights[i]
	}
	pick := func() int {
		draw := random.Float64() * sum
		for i, weight := range weights {
			if draw -= weight; draw < 0 {
				return i
			}
		}
		return 0
	}
	type totals struct{ admitted, asked []float64 }
	if fleet.startsUnsynced {
		for i := range buckets {
			buckets[i] = quota.New(fleet.rate, fleet.burst, time.Minute).WithDelay(fleet.delay()).WithWindow(fleet.window).Unsynced(fleet.entries)
		}
	}
	history := []totals{}
	var steps []step
	syncAt, restarts, aggregator := make([]time.Duration, fleet.entries), 0, "a0"
	for i := range syncAt {
		syncAt[i] = syncTime
	}
	// before are the totals that the aggregator does not count, since its entries joined it later.
	before := totals{make([]float64, fleet.entries), make([]float64, fleet.entries)}
	joinsAt, joined := make([]time.Duration, fleet.entries), make([]bool, fleet.entries)
	// ended are the totals of the incarnations that have ended, which stay in the sums.
	ended := totals{make([]float64, fleet.entries), make([]float64, fleet.entries)}
	for at := time.Duration(0); at < length; at += stepLength {
		now := time.Minute + at
		var played step
		for mean := fleet.offered(at) * stepLength.Seconds() / fleet.meanSize; random.Float64() < mean; mean-- {
			size := fleet.meanSize * random.ExpFloat64()
			entry := pick()
			next, ok := buckets[entry].WithRequest(size, random.Float64(), now)
			buckets[entry] = next
			played.asked += size
			if ok {
				played.admitted += size
			}
		}
		steps = append(steps, played)
		if at%fleet.round != 0 {
			continue
		}
		if fleet.restartEvery > 0 && at%fleet.restartEvery == 0 && at > 0 {
			i := restarts % fleet.entries
			ended.admitted[i] += buckets[i].Admitted()
			ended.asked[i] += buckets[i].Asked()
			buckets[i], syncAt[i] = quota.New(fleet.rate, fleet.burst, now).WithDelay(fleet.delay()).WithWindow(fleet.window).Unsynced(fleet.entries), at+syncTime
			restarts++
			aggregator = fmt.Sprint("a", restarts/3)
		}
		latest := totals{make([]float64, fleet.entries), make([]float64, fleet.entries)}
		for i := range buckets {
			latest.admitted[i], latest.asked[i] = ended.admitted[i]+buckets[i].Admitted(), ended.asked[i]+buckets[i].Asked()
			if at >= syncAt[i] {
				buckets[i] = buckets[i].Synced(now)
			}
		}
		for _, changeAt := range fleet.changesAt {
			if at == changeAt {
				aggregator = fmt.Sprint("change", at)
				for i := range joinsAt {
					joinsAt[i], joined[i] = at+time.Duration(random.Float64()*float64(fleet.lateness)), false
				}
			}
		}
		for i := range joinsAt {
			if !joined[i] && at >= joinsAt[i] {
				joined[i], before.admitted[i], before.asked[i] = true, latest.admitted[i], latest.asked[i]
			}
			if !joined[i] {
				before.admitted[i], before.asked[i] = latest.admitted[i], latest.asked[i]
			}
			latest.admitted[i] -= before.admitted[i]
			latest.asked[i] -= before.asked[i]
		}
		cutOff := 0
		if at >= fleet.cutOffAt && at < fleet.cutOffAt+fleet.cutOffFor {
			cutOff = fleet.cutOff
		}
		for i := range cutOff {
			latest.admitted[i], latest.asked[i] = history[len(history)-1].admitted[i], history[len(history)-1].asked[i]
		}
		history = append(history, latest)
		if len(history) <= fleet.hops {
			continue
		}
		told := history[len(history)-1-fleet.hops]
		allAdmitted, allAsked := 0.0, 0.0
		for i := range buckets {
			allAdmitted, allAsked = allAdmitted+told.admitted[i], allAsked+told.asked[i]
		}
		for i := cutOff; i < fleet.entries; i++ {
			buckets[i] = buckets[i].WithLivePeers(map[string]bool{aggregator: true}, now).WithReport(aggregator, quota.Report{
				Admitted: allAdmitted - told.admitted[i], Asked: allAsked - told.asked[i], At: now - time.Duration(fleet.hops)*fleet.round,
			})
		}
	}
	return steps
}

// sums returns what was asked for and admitted between two times.
func sums(steps []step, from, to time.Duration) (asked, admitted float64) {
	for _, step := range steps[from/stepLength : to/stepLength] {
		asked += step.asked
		admitted += step.admitted
	}
	return asked, admitted
}

func admittedOf(steps []step) []float64 {
	admitted := make([]float64, len(steps))
	for i, step := range steps {
		admitted[i] = step.admitted
	}
	return admitted
}

// Guards against both sides of a limit that entries keep by old reports, when an account suddenly asks for several times
// its limit: more than the limit admitted in a window, and an account that then gets a part of its limit only, because
// each entry holds it to an equal share, or because all of them pay back the excess of the first second at once.
func TestExcessiveAccountGetsItsLimitAndNotMore(t *testing.T) {
	for _, entries := range []int{8, 60, 300} {
		for _, skew := range []float64{0, 10} {
			for seed := range uint64(3) {
				name := fmt.Sprintf("%d_entries_skew_%.0f_seed_%d", entries, skew, seed)
				t.Run(name, func(t *testing.T) {
					const rate = 300000.0
					round, hops := roundsOf(entries)
					fleet := fleet{
						rate: rate, burst: 1.8 * rate, meanSize: 3000, entries: entries, skew: skew, round: round, hops: hops,
						offered: func(at time.Duration) float64 {
							if at >= 5*time.Second && at < 25*time.Second {
								return 4.2 * rate
							}
							return rate / 1.8
						},
					}
					steps := fleet.run(rand.New(rand.NewPCG(seed, 1)), 35*time.Second)
					assertWithinLimit(t, admittedOf(steps), stepLength, fleet.rate, fleet.burst)
					for from := 11 * time.Second; from < 23*time.Second; from += 2 * time.Second {
						_, admitted := sums(steps, from, from+2*time.Second)
						assert.Greater(t, admitted, 0.6*2*rate, "in 2 s from %s of the excess", from)
					}
					_, admitted := sums(steps, 11*time.Second, 25*time.Second)
					assert.Greater(t, admitted, 0.9*14*rate, "in the excess")
					// After the excess, nothing of what the account asks for is beyond its limit.
					asked, admitted := sums(steps, 27*time.Second, 35*time.Second)
					assert.Greater(t, admitted, 0.98*asked, "after the excess")
				})
			}
		}
	}
}

// Guards against a limit that is exceeded while entries restart one after the other: a restarted entry, and every entry
// whose aggregator was restarted, does not know at first how much of the account's requests the others receive.
func TestLimitHoldsWhileEntriesRestart(t *testing.T) {
	for _, entries := range []int{7, 60} {
		for seed := range uint64(10) {
			const rate = 107000.0
			round, hops := roundsOf(entries)
			fleet := fleet{
				rate: rate, burst: rate, meanSize: 4000, entries: entries, skew: 3, round: round, hops: hops,
				restartEvery: 2 * time.Second,
				offered: func(at time.Duration) float64 {
					if at >= 5*time.Second && at < 25*time.Second {
						return 4.2 * rate
					}
					return rate / 1.8
				},
			}
			steps := fleet.run(rand.New(rand.NewPCG(seed, 5)), 30*time.Second)
			assertWithinLimit(t, admittedOf(steps), stepLength, fleet.rate, fleet.burst)
			_, admitted := sums(steps, 11*time.Second, 25*time.Second)
			assert.Greater(t, admitted, 0.75*14*rate, "%d entries, seed %d", entries, seed)
		}
	}
}

// Guards against refusals below the limit: an account whose few large requests come to half of its limit, at any number
// of entries.
func TestAccountBelowItsLimitIsNotRefused(t *testing.T) {
	for _, entries := range []int{8, 60, 300} {
		asked, admitted := 0.0, 0.0
		for seed := range uint64(20) {
			const rate = 29000.0
			round, hops := roundsOf(entries)
			fleet := fleet{
				rate: rate, burst: 1.8 * rate, meanSize: 4000, entries: entries, skew: 10, round: round, hops: hops,
				offered: func(time.Duration) float64 { return rate / 1.8 },
			}
			seedAsked, seedAdmitted := sums(fleet.run(rand.New(rand.NewPCG(seed, 2)), 60*time.Second), 0, 60*time.Second)
			asked, admitted = asked+seedAsked, admitted+seedAdmitted
		}
		assert.Greater(t, admitted, 0.995*asked, "%d entries", entries)
	}
}

// Guards against a limit that is exceeded after all entries have started at once: each used 0.08 of it until it had the
// rates of the others, which is sized for nine entries.
func TestLimitHoldsAfterAllEntriesHaveStarted(t *testing.T) {
	for _, entries := range []int{7, 67, 295} {
		const rate = 362700.0
		round, hops := roundsOf(entries)
		fleet := fleet{
			rate: rate, burst: rate, meanSize: 4000, entries: entries, skew: 3, round: round, hops: hops, startsUnsynced: true,
			offered: func(time.Duration) float64 { return 4.2 * rate },
		}
		steps := fleet.run(rand.New(rand.NewPCG(uint64(entries), 7)), 20*time.Second)
		assertWithinLimit(t, admittedOf(steps), stepLength, fleet.rate, fleet.burst)
		_, admitted := sums(steps, 6*time.Second, 20*time.Second)
		assert.Greater(t, admitted, 0.75*14*rate, "%d entries", entries)
		_, atStart := sums(steps, 0, time.Second)
		assert.Less(t, atStart, 2.5*rate, "%d entries in the first second", entries)
	}
}
