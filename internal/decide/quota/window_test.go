package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/quota"
)

// largestShare returns the largest size admitted in a window, as a part of what the rule allows.
func (fleet fleet) largestShare(steps []step) float64 {
	const count = int(window / stepLength)
	largest, sum := 0.0, 0.0
	for i, step := range steps {
		sum += step.admitted
		if i >= count {
			sum -= steps[i-count].admitted
		}
		largest = max(largest, sum)
	}
	return largest / ((fleet.rate*window.Seconds()+fleet.burst)*1.1 + slack)
}

// refusedWithin returns the part of what was asked for that was refused while all that was asked for in the last second was
// within the limit.
func (fleet fleet) refusedWithin(steps []step) float64 {
	const count = int(time.Second / stepLength)
	asked, refused, recent := 0.0, 0.0, 0.0
	for i, step := range steps {
		recent += step.asked
		if i < count {
			continue
		}
		recent -= steps[i-count].asked
		if recent <= fleet.rate {
			asked += step.asked
			refused += step.asked - step.admitted
		}
	}
	return refused / max(asked, 1)
}

// demand is a course of what an account asks for, as a multiple of its limit.
type demand struct {
	name      string
	at        func(at time.Duration) float64
	changesAt []time.Duration
	// cutOff is the part of the entries that are cut off from the others for some seconds.
	cutOff float64
}

// interpolated returns a course through points of seconds and multiples.
func interpolated(points ...[2]float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		for i := 1; i < len(points); i++ {
			from, to := points[i-1], points[i]
			if at.Seconds() < to[0] {
				return from[1] + (to[1]-from[1])*(at.Seconds()-from[0])/(to[0]-from[0])
			}
		}
		return points[len(points)-1][1]
	}
}

// demands are the courses that are played. Those that are not constant exceed the limit for some seconds.
func demands() []demand {
	const usual = 0.55
	long := interpolated([2]float64{0, usual}, [2]float64{5, usual}, [2]float64{5.5, 5.6 * usual}, [2]float64{15, 5.6 * usual}, [2]float64{15.5, usual})
	ramp := interpolated([2]float64{0, 0.4}, [2]float64{1.5, 0.4}, [2]float64{2, 2.6}, [2]float64{3, 2.6}, [2]float64{4.5, 6.6}, [2]float64{12, 6.6}, [2]float64{13, 0.9})
	return []demand{
		{name: "step for 10 s", at: long},
		{name: "step for 1.5 s", at: interpolated([2]float64{0, usual}, [2]float64{5, usual}, [2]float64{5.5, 5.6 * usual}, [2]float64{6.5, 5.6 * usual}, [2]float64{7, 0.94})},
		{name: "step for 3 s", at: interpolated([2]float64{0, usual}, [2]float64{5, usual}, [2]float64{5.5, 4.2}, [2]float64{8, 4.2}, [2]float64{8.5, 0.8})},
		{name: "step to 7.5", at: interpolated([2]float64{0, usual}, [2]float64{5, usual}, [2]float64{5.1, 7.5}, [2]float64{15, 7.5}, [2]float64{15.1, usual})},
		{name: "two steps", at: interpolated([2]float64{0, usual}, [2]float64{1.5, usual}, [2]float64{2, 2}, [2]float64{6, 2}, [2]float64{8.5, 4.2}, [2]float64{15, 4.2}, [2]float64{16, 0.9})},
		{name: "ramp", at: ramp},
		{name: "ramp and new aggregators", at: ramp, changesAt: []time.Duration{4500 * time.Millisecond}},
		{name: "step with entries cut off", at: long, cutOff: 0.2},
		{name: "constant below the limit", at: interpolated([2]float64{0, 0.8})},
		{name: "constant at the limit", at: interpolated([2]float64{0, 0.97})},
	}
}

// play returns the largest share of the rule and the mean share refused within the limit, over several seeds.
func (demand demand) play(entries int, skew float64, window quota.Window) (largest, refused float64) {
	const rate, seeds = 1040918.0, 2 // The rate is that of docs/design/account-limits.md, whose figures this test prints.
	for seed := range uint64(seeds) {
		round, hops := roundsOf(entries)
		fleet := fleet{
			rate: rate, burst: 1.2 * rate, meanSize: 4000, entries: entries, skew: skew, round: round, hops: hops, window: window,
			offered:   func(at time.Duration) float64 { return rate * demand.at(at) },
			changesAt: demand.changesAt, lateness: 1500 * time.Millisecond,
			cutOff: int(demand.cutOff * float64(entries)), cutOffAt: 4 * time.Second, cutOffFor: 4 * time.Second,
		}
		steps := fleet.run(rand.New(rand.NewPCG(seed, 8)), 24*time.Second)
		largest = max(largest, fleet.largestShare(steps))
		refused += fleet.refusedWithin(steps) / seeds
	}
	return largest, refused
}

// Guards against both sides of a step in what an account asks for: more admitted in a window than the rule allows, before
// reports show the step or while entries change their aggregator, and requests within the limit that are refused to pay back
// an excess that no window needs to be paid back.
func TestStepsOfDemandKeepTheRuleAndRefuseLittle(t *testing.T) {
	for _, demand := range demands() {
		for _, entries := range []int{9, 86} {
			for _, skew := range []float64{0, 10} {
				before, refusedBefore := demand.play(entries, skew, quota.Window{})
				largest, refused := demand.play(entries, skew, quota.Window{Length: window, Over: 0.1, Slack: slack})
				name := fmt.Sprintf("%s, %d entries, skew %.0f", demand.name, entries, skew)
				t.Logf("%-40s largest window %.2f of the rule, without a window %.2f; refused within the limit %.3f, without %.3f",
					name, largest, before, refused, refusedBefore)
				assert.LessOrEqual(t, largest, 1.0, name)
				assert.LessOrEqual(t, refused, max(refusedBefore, refusedWithoutExcess), name)
			}
		}
	}
}

// refusedWithoutExcess is the part of what is within the limit that may be refused by chance.
const refusedWithoutExcess = 0.01

// Guards against an account that is refused for the length of a window after its limit was lowered, although it asks for less
// than the new limit.
func TestLoweredLimitAdmitsTheNewRate(t *testing.T) {
	const rate = 100000.0
	bucket := quota.New(rate, rate, 0).WithWindow(quota.Window{Length: window, Over: 0.1, Slack: 1000})
	play := func(from, to time.Duration, perSecond float64) (asked, admitted float64) {
		for at := from; at < to; at += 10 * time.Millisecond {
			size := perSecond / 100
			next, ok := bucket.WithRequest(size, 0.5, at)
			bucket = next
			if asked += size; ok {
				admitted += size
			}
		}
		return asked, admitted
	}
	play(0, 10*time.Second, 1.1*rate)
	bucket = bucket.WithLimit(rate/4, rate/4, 10*time.Second)
	play(10*time.Second, 15*time.Second, 0.95*rate/4) // The average of what is asked for falls.
	asked, admitted := play(15*time.Second, 17*time.Second, 0.95*rate/4)
	assert.Greater(t, admitted, 0.95*asked)
}

// Guards against a refund that leaves its request in the windows: an account whose calls do not run would be refused.
func TestRefundedRequestsDoNotFillTheWindow(t *testing.T) {
	const rate = 1000.0
	bucket := quota.New(rate, rate/10, 0).Refilled(window).WithWindow(quota.Window{Length: window, Over: 0.2})
	requests := 0
	for at := window; at < 30*time.Second; at += 10 * time.Millisecond {
		next, ok := bucket.WithRequest(11.4, 0.8, at)
		bucket = next
		assert.True(t, ok, "at %s", at)
		if requests++; ok && requests%11 == 0 {
			bucket = bucket.WithRefund(11.4)
		}
	}
}

// Guards against a request that alone uses more than a window of its account's limit, and against others that are refused because of it.
func TestRequestLargerThanAWindowIsRefused(t *testing.T) {
	rule := quota.Window{Length: window, Over: 0.1, Slack: slack}
	const rate, burst = 1000.0, 500.0
	largest := (rate*window.Seconds()+burst)*1.1 + slack
	bucket := quota.New(rate, burst, 0).WithWindow(rule)
	for _, size := range []float64{largest + 1, 1 << 31} {
		refused, admitted := bucket.WithRequest(size, 0, time.Second)
		assert.False(t, admitted, size)
		assert.Zero(t, refused.Asked())
		_, admitted = refused.WithRequest(100, 0.99, time.Second)
		assert.True(t, admitted, "a small request after it")
	}
	_, admitted := bucket.WithRequest(largest-1, 0, time.Second)
	assert.True(t, admitted)
	_, admitted = quota.New(rate, burst, 0).WithRequest(largest+1, 0, time.Second)
	assert.True(t, admitted, "without a rule")
	_, admitted = quota.New(0.05, 0, 0).WithWindow(quota.Window{Length: window, Over: 0.1}).WithRequest(1, 0, time.Second)
	assert.True(t, admitted, "a rate below one request in a window")
}
