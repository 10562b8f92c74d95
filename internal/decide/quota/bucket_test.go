package quota_test

import (
	"fmt"
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
		buckets := make([]quota.Bucket, entries)
		for i := range buckets {
			buckets[i] = quota.New(rate, burst, 0)
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
				next, ok := buckets[entry].WithRequest(size, now)
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
							buckets[i] = buckets[i].WithReport(fmt.Sprint(j), buckets[j].Admitted(), now)
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
		large, ok = large.WithRequest(25000, at)
		assert.True(t, ok, "at %s", at)
		small = small.WithReport("one", large.Admitted(), at+100*time.Millisecond)
		small, ok = small.WithRequest(2000, at+200*time.Millisecond)
		assert.True(t, ok, "at %s", at)
		large = large.WithReport("two", small.Admitted(), at+300*time.Millisecond)
	}
}

// Guards against a lower limit that takes effect only after the level from the old limit is used up.
func TestLowerLimitCutsTheLevel(t *testing.T) {
	bucket := quota.New(1000, 50000, 0).WithLimit(100, 100, time.Minute)
	bucket, ok := bucket.WithRequest(150, time.Minute)
	assert.True(t, ok)
	bucket, ok = bucket.WithRequest(1, time.Minute)
	assert.False(t, ok)
	assert.InDelta(t, 500*time.Millisecond, bucket.Wait(time.Minute), float64(time.Millisecond))
	_, ok = bucket.WithRefund(150).WithRequest(1, time.Minute)
	assert.True(t, ok, "the size of a request that did not run is added back")
}

// Guards against totals that are subtracted twice when a report is repeated.
func TestReportsAreCumulative(t *testing.T) {
	bucket := quota.New(10, 100, 0).WithReport("p", 20, time.Second)
	reported := bucket.WithReport("p", 40, 2*time.Second)
	assert.InDelta(t, reported.Level(), reported.WithReport("p", 40, 2*time.Second).Level(), 0.1)
}

// Guards against extrapolating the rate of an entry that has ended, which makes its peers
// reject requests within the limit.
func TestRatesOfEndedPeersAreNotExtrapolated(t *testing.T) {
	const rate = 100.0
	bucket := quota.New(rate, rate, 0)
	for at := time.Duration(1); at < 5; at++ {
		bucket = bucket.WithReport("p", rate*float64(at), at*time.Second)
	}
	_, ok := bucket.WithRequest(1, 12*time.Second)
	assert.False(t, ok, "the peer may have admitted more since its report")
	_, ok = bucket.WithLivePeers(map[string]bool{"other": true}).WithRequest(1, 12*time.Second)
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
		bucket = bucket.WithReport("p", total, at)
	}
	for end := at + 1500*time.Millisecond; at < end; at += 250 * time.Millisecond {
		bucket = bucket.WithReport("p", total, at)
	}
	assert.Greater(t, bucket.Level(), 0.25*rate, "the debt is paid off")
	_, ok := bucket.WithRequest(1, at)
	assert.True(t, ok)
}

// Guards against entries that all start at once and each admit half a burst before they receive
// each other's reports, in addition to what was admitted before.
func TestEntriesThatStartTogetherAdmitLittle(t *testing.T) {
	const rate, entries = 1000.0, 9
	admitted := 0.0
	for range entries {
		bucket := quota.New(rate, rate, 0).Unsynced()
		for now := time.Duration(0); now < 500*time.Millisecond; now += 5 * time.Millisecond {
			next, ok := bucket.WithRequest(10, now)
			bucket = next
			if ok {
				admitted += 10
			}
		}
	}
	assert.LessOrEqual(t, admitted, 1.3*rate)
	synced := quota.New(rate, rate, 0).Unsynced().Synced(time.Second)
	assert.Greater(t, synced.Refilled(2*time.Second).Level(), 0.9*rate, "refilled one second after it was synced")
}

// Guards against an excess that is not paid off. When an account begins to send eight times its limit to many
// entries, they admit several seconds' worth of requests before they receive each other's
// reports, all of which must be paid off within the window.
func TestExcessBeforeTheFirstReportsIsPaidOff(t *testing.T) {
	const (
		rate, entries = 60000.0, 60
		offered       = 7.5 // as a multiple of the limit
		step          = 10 * time.Millisecond
	)
	buckets := make([]quota.Bucket, entries)
	for i := range buckets {
		buckets[i] = quota.New(rate, rate, 0).Refilled(time.Minute).WithEntries(entries)
	}
	var admitted []float64
	// Reports pass through two aggregators, so that they contain the totals of the round before.
	previousTotals := make([]float64, entries)
	for now := time.Minute; now < time.Minute+20*time.Second; now += step {
		sum := 0.0
		for i := range buckets {
			size := offered * rate * step.Seconds() / entries
			next, ok := buckets[i].WithRequest(size, now)
			buckets[i] = next
			if ok {
				sum += size
			}
		}
		admitted = append(admitted, sum)
		if now%(500*time.Millisecond) == 0 {
			for i := range buckets {
				others := 0.0
				for j := range buckets {
					if i != j {
						others += previousTotals[j]
					}
				}
				buckets[i] = buckets[i].WithReport("others", others, now-500*time.Millisecond)
			}
			for j := range buckets {
				previousTotals[j] = buckets[j].Admitted()
			}
		}
	}
	assertWithinLimit(t, admitted, step, rate, rate)
}

// Guards against entries that all admit at the full rate as soon as their own copies have refilled a little,
// before they have received reports of what their peers admit.
func TestEntriesAdmitLittleWhileRecovering(t *testing.T) {
	const rate, entries = 60000.0, 60
	at := time.Minute
	bucket := quota.New(rate, rate, 0).Refilled(at).WithEntries(entries)
	bucket = bucket.WithReport("others", 0, at).WithReport("others", 2*rate, at+time.Second).Refilled(at + time.Second + time.Millisecond)
	at += 3 * time.Second
	bucket = bucket.WithReport("others", 2*rate, at)
	assert.Greater(t, bucket.Level(), 0.5*rate)
	admitted := 0.0
	for end := at + 500*time.Millisecond; at < end; at += 5 * time.Millisecond {
		next, ok := bucket.WithRequest(100, at)
		bucket = next
		if ok {
			admitted += 100
		}
	}
	assert.LessOrEqual(t, admitted, 0.1*rate)
}
