package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/quota"
)

// window is the time over which the tests check limits. They tolerate a tenth above the limit plus slack.
const (
	window = 8 * time.Second
	slack  = 110000
)

// assertWithinLimit checks that the sizes admitted in each step stay within the limit in the windows that
// start at every tenth step.
func assertWithinLimit(t assert.TestingT, admitted []float64, step time.Duration, rate, burst float64) {
	steps := int(window / step)
	for from := 0; from+steps <= len(admitted); from += 10 {
		sum := 0.0
		for _, size := range admitted[from : from+steps] {
			sum += size
		}
		assert.LessOrEqual(t, sum, (rate*window.Seconds()+burst)*1.1+slack, "in 8 s from step %d", from)
	}
}

// Guards against entries that together admit more than the limit, for any distribution of the
// requests over the entries and any size.
func TestEntriesTogetherKeepTheLimit(t *testing.T) {
	const (
		rate, burst = 30000.0, 30000.0
		entries     = 8
		step        = 10 * time.Millisecond
		reportEvery = 250 * time.Millisecond
	)
	rapid.Check(t, func(t *rapid.T) {
		offered := rapid.Float64Range(0.5, 8).Draw(t, "offered") // as a multiple of the limit
		largest := rapid.Float64Range(500, 50000).Draw(t, "largest")
		// The draws of the requests are uniform, as those of an entry; only their seed is chosen.
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 6))
		buckets := make([]quota.Bucket, entries)
		for i := range buckets {
			buckets[i] = quota.New(rate, burst, 0).WithDelay(2 * reportEvery)
		}
		var admitted []float64
		pending := 0.0
		for now := time.Duration(0); now < 20*time.Second; now += step {
			sum := 0.0
			pending += offered * rate * step.Seconds()
			for pending > 0 {
				size := rapid.Float64Range(100, largest).Draw(t, "size")
				pending -= size
				entry := rapid.IntRange(0, entries-1).Draw(t, "entry")
				next, ok := buckets[entry].WithRequest(size, random.Float64(), now)
				buckets[entry] = next
				if ok {
					sum += size
				}
			}
			admitted = append(admitted, sum)
			if now%reportEvery == 0 {
				for i := range buckets {
					for j := range buckets {
						if i != j {
							buckets[i] = buckets[i].WithReport(fmt.Sprint(j), quota.Report{Admitted: buckets[j].Admitted(), Asked: buckets[j].Asked(), At: now})
						}
					}
				}
			}
		}
		assertWithinLimit(t, admitted, step, rate, burst)
	})
}

// Guards against rejected requests below the limit after large requests at other entries.
func TestRequestsWithinTheLimitAreNotRefused(t *testing.T) {
	const rate = 60000.0
	large, small := quota.New(rate, rate, 0), quota.New(rate, rate, 0)
	for at := time.Second; at < 60*time.Second; at += 500 * time.Millisecond {
		var ok bool
		large, ok = large.WithRequest(25000, highestDraw, at)
		assert.True(t, ok, "at %s", at)
		small = small.WithReport("one", quota.Report{Admitted: large.Admitted(), Asked: large.Asked(), At: at + 100*time.Millisecond})
		small, ok = small.WithRequest(2000, highestDraw, at+200*time.Millisecond)
		assert.True(t, ok, "at %s", at)
		large = large.WithReport("two", quota.Report{Admitted: small.Admitted(), Asked: small.Asked(), At: at + 300*time.Millisecond})
	}
}

// highestDraw is the draw with which a request is admitted only if all requests are.
const highestDraw = 0.999999

// Guards against a lower limit that takes effect only after the level from the old limit is used up.
func TestLowerLimitCutsTheLevel(t *testing.T) {
	bucket := quota.New(1000, 50000, 0).WithLimit(100, 100, time.Minute)
	bucket, ok := bucket.WithRequest(450, highestDraw, time.Minute)
	assert.True(t, ok)
	bucket, ok = bucket.WithRequest(1, 0, time.Minute)
	assert.False(t, ok, "a debt of more than three seconds of the limit")
	wait := bucket.Wait(time.Minute)
	assert.Greater(t, wait, time.Second)
	_, ok = bucket.WithRequest(1, 0, time.Minute+wait-10*time.Millisecond)
	assert.False(t, ok, "before the time that callers are told")
	_, ok = bucket.WithRequest(1, 0, time.Minute+wait+10*time.Millisecond)
	assert.True(t, ok, "after the time that callers are told")
	_, ok = bucket.WithRefund(450).WithRequest(1, highestDraw, time.Minute)
	assert.True(t, ok, "the size of a request that did not run is added back")
}

// Guards against a Retry-After of nothing, after which a caller is refused again, for an entry that has just started.
func TestWaitOfAnUnsyncedBucketIsItsOwn(t *testing.T) {
	bucket := quota.New(1000, 1000, 0).Unsynced(7)
	bucket, _ = bucket.WithRequest(160, 0, 0)
	_, ok := bucket.WithRequest(1, 0, 0)
	assert.False(t, ok)
	wait := bucket.Wait(0)
	_, ok = bucket.WithRequest(1, 0, wait-10*time.Millisecond)
	assert.False(t, ok, "before the time that callers are told")
	_, ok = bucket.WithRequest(1, 0, wait+10*time.Millisecond)
	assert.True(t, ok, "after the time that callers are told")
}

// Guards against totals that are subtracted twice when a report is repeated.
func TestReportsAreCumulative(t *testing.T) {
	bucket := quota.New(10, 100, 0).WithReport("p", quota.Report{Admitted: 20, At: time.Second})
	reported := bucket.WithReport("p", quota.Report{Admitted: 40, At: 2 * time.Second})
	assert.InDelta(t, reported.Level(), reported.WithReport("p", quota.Report{Admitted: 40, At: 2 * time.Second}).Level(), 0.1)
}

// Guards against extrapolating the rate of an entry that has ended, which makes its peers
// reject requests within the limit.
func TestRatesOfEndedPeersAreNotExtrapolated(t *testing.T) {
	const rate = 100.0
	bucket := quota.New(rate, rate, 0)
	for at := time.Duration(1); at < 5; at++ {
		bucket = bucket.WithReport("p", quota.Report{Admitted: rate * float64(at), Asked: 2 * rate * float64(at), At: at * time.Second})
	}
	_, ok := bucket.WithRequest(1, highestDraw, 12*time.Second)
	assert.False(t, ok, "the peer may have admitted more since its report")
	_, ok = bucket.WithLivePeers(map[string]bool{"other": true}, 12*time.Second).WithRequest(1, highestDraw, 12*time.Second)
	assert.True(t, ok)
}

// Guards against rejecting all requests for seconds after an excess: each entry extrapolated the rates of
// its peers, although they reported that they admitted nothing.
func TestRatesOfIdlePeersAreNotExtrapolated(t *testing.T) {
	const rate = 100.0
	bucket := quota.New(rate, rate, 0)
	total, at := 0.0, time.Duration(0)
	for ; at < 3*time.Second; at += 250 * time.Millisecond {
		total += 0.375 * rate
		bucket = bucket.WithReport("p", quota.Report{Admitted: total, Asked: total, At: at})
	}
	for end := at + 1500*time.Millisecond; at < end; at += 250 * time.Millisecond {
		bucket = bucket.WithReport("p", quota.Report{Admitted: total, Asked: total, At: at})
	}
	assert.Greater(t, bucket.Level(), 0.25*rate, "the debt is paid off")
	_, ok := bucket.WithRequest(1, highestDraw, at)
	assert.True(t, ok)
}

// Guards against entries that all start at once and each admit half a burst before they receive
// each other's reports, in addition to what was admitted before.
func TestEntriesThatStartTogetherAdmitLittle(t *testing.T) {
	const rate = 1000.0
	for _, entries := range []int{1, 9, 67, 295} {
		admitted := 0.0
		for range entries {
			bucket := quota.New(rate, rate, 0).Unsynced(entries)
			for now := time.Duration(0); now < 500*time.Millisecond; now += 5 * time.Millisecond {
				next, ok := bucket.WithRequest(0.1, 0, now)
				bucket = next
				if ok {
					admitted += 0.1
				}
			}
		}
		assert.LessOrEqual(t, admitted, 1.3*rate, "%d entries", entries)
		synced := quota.New(rate, rate, 0).Unsynced(entries).Synced(time.Second)
		assert.Greater(t, synced.Refilled(2*time.Second).Level(), 0.9*rate, "refilled one second after it was synced")
	}
}

// Guards against an excess that is not paid off. When an account begins to send eight times its limit to many
// entries, they admit several seconds' worth of requests before they receive each other's
// reports, all of which must be paid off within the window.
func TestExcessBeforeTheFirstReportsIsPaidOff(t *testing.T) {
	const rate = 60000.0
	for seed := range uint64(5) {
		fleet := fleet{
			rate: rate, burst: rate, meanSize: 75, entries: 60, round: 500 * time.Millisecond, hops: 1,
			offered: func(time.Duration) float64 { return 7.5 * rate },
		}
		steps := fleet.run(rand.New(rand.NewPCG(seed, 3)), 20*time.Second)
		assertWithinLimit(t, admittedOf(steps), stepLength, rate, rate)
	}
}

// Guards against entries that all admit at the full rate as soon as their own copies have refilled a little,
// before they have received reports of what their peers admit: in no second after the excess was paid off do they admit
// twice the limit.
func TestEntriesAdmitLittleWhileRecovering(t *testing.T) {
	const rate = 60000.0
	fleet := fleet{
		rate: rate, burst: rate, meanSize: 75, entries: 60, round: 500 * time.Millisecond, hops: 1,
		offered: func(time.Duration) float64 { return 7.5 * rate },
	}
	steps := fleet.run(rand.New(rand.NewPCG(1, 4)), 20*time.Second)
	for from := 2 * time.Second; from < 19*time.Second; from += 100 * time.Millisecond {
		_, admitted := sums(steps, from, from+time.Second)
		assert.LessOrEqual(t, admitted, 2*rate, "in the second from %s", from)
	}
}
