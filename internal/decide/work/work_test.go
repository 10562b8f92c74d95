package work_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/work"
)

const now = time.Minute

// learned returns the sketch of calls whose amounts are spread by a factor of 2 around a median. The hint is the amount times
// the result of wrong.
func learned(count int, median float64, wrong func(*rand.Rand) float64) work.Sketch {
	random := rand.New(rand.NewPCG(1, 1))
	sketch := work.Sketch{}
	for range count {
		amount := median * math.Exp(random.NormFloat64()*math.Ln2)
		sketch = sketch.WithCall(work.Call{Amount: amount, Hint: 4 * amount * wrong(random), UnitMs: 50, HeadRatio: 1.5})
	}
	return sketch
}

func exact(*rand.Rand) float64 { return 1 }

// Guards against a choice by an estimate of a route of which nothing is known.
func TestWithoutCallsNothingIsEstimated(t *testing.T) {
	for _, sketch := range []work.Sketch{{}, learned(3, 66, exact), work.Sketch{}.WithRoute(work.Sketch{})} {
		estimate := sketch.Estimate(100, 1000)
		assert.False(t, estimate.Known())
		assert.Zero(t, estimate.LeftMs(0))
		assert.Zero(t, estimate.LateAfter(1, 1))
	}
	assert.Equal(t, 1.0, work.Pace{}.Factor(now))
}

// Guards against hints that count although they have been wrong on a route, and against useful ones that do not.
func TestHintsCountAsFarAsTheyHaveBeenRight(t *testing.T) {
	right := learned(400, 60, exact).Estimate(4*240, 0)
	assert.InEpsilon(t, 240, right.Median(), 0.1)
	arbitrary := learned(400, 60, func(random *rand.Rand) float64 { return math.Exp(2 * random.NormFloat64()) }).Estimate(4*240, 0)
	assert.Less(t, arbitrary.Median(), 100.0)
	same := learned(400, 60, exact)
	assert.InEpsilon(t, 60, same.Estimate(0, 0).Median(), 0.2, "without a hint")
	assert.Less(t, same.Estimate(1e9, 0).Median(), 1000.0, "an absurd hint")
	assert.LessOrEqual(t, same.Estimate(4*240, 100).Left(0), 100.0, "beyond the highest amount")
}

// Guards against calls that are taken for nearly over, or for endless, after a part of their answer.
func TestWhatIsLeftFollowsWhatWasSeen(t *testing.T) {
	estimate := learned(400, 60, exact).Estimate(0, 0)
	assert.InEpsilon(t, 60*math.Exp(math.Ln2*math.Ln2/2), estimate.Left(0), 0.2)
	assert.Less(t, estimate.Left(30), estimate.Left(0))
	for _, done := range []float64{1, 10, 60, 300, 1e4, 1e7} {
		assert.Positive(t, estimate.Left(done), done)
		assert.LessOrEqual(t, estimate.Left(done), max(done, estimate.Left(0)), done)
	}
	assert.InDelta(t, 0.5, estimate.LateAfter(60*50, 1), 0.1)
	assert.Greater(t, estimate.LateAfter(60*50, 1.6), 0.7)
	assert.Less(t, estimate.LateAfter(60*50, 0.6), 0.3)
}

// Guards against an account whose calls are unlike others on its route, and is estimated as these.
func TestAnAccountsCallsCountOnItsRoute(t *testing.T) {
	route := learned(400, 10, exact)
	assert.InEpsilon(t, 10, work.Sketch{}.WithRoute(route).Estimate(0, 0).Median(), 0.2)
	assert.Greater(t, learned(100, 160, exact).WithRoute(route).Estimate(0, 0).Median(), 100.0)
}

// Guards against a pace that follows one sample, keeps a server slow for ever, or breaks on figures that cannot be.
func TestPacesAreLearnedAndFade(t *testing.T) {
	pace := work.Pace{}.WithSample(100, now)
	assert.Less(t, pace.Factor(now), math.Sqrt(8), "one sample counts for half of its bound")
	for range 30 {
		pace = pace.WithSample(1.6, now)
	}
	assert.InDelta(t, 1.5, pace.Factor(now), 0.1, "less what is tolerated")
	assert.InDelta(t, 1, pace.Factor(now+3*time.Minute), 0.02)
	for _, ratio := range []float64{0, -1, math.NaN()} {
		assert.Equal(t, pace, pace.WithSample(ratio, now))
	}
	assert.False(t, math.IsInf(pace.WithSample(math.Inf(1), now).Factor(now), 0))
}

// Guards against work that stays at a server after its calls ended.
func TestWorkLeftReturnsToZero(t *testing.T) {
	server := work.Server{}.WithLeft(300).WithLeft(200).WithLeft(-100)
	assert.Equal(t, 400.0, server.LeftMs())
	assert.Zero(t, server.WithLeft(-500).LeftMs())
}

// Guards against one entry behind a faulty network that makes all others avoid sound servers, and against reports of servers that are as
// usual, which would fill the messages.
func TestPacesOfOtherEntriesCountTogether(t *testing.T) {
	slow, usual := work.Pace{}, work.Pace{}
	for range 30 {
		slow, usual = slow.WithSample(8, now), usual.WithSample(1.05, now)
	}
	assert.Zero(t, usual.Shared(now))
	assert.Zero(t, work.Pace{}.Shared(now))
	assert.Zero(t, slow.Shared(now+5*time.Minute), "too old")
	broken := slow.Shared(now)
	assert.LessOrEqual(t, broken.Samples, work.MaxSharedSamples)
	assert.LessOrEqual(t, broken.Log, work.MaxSharedLog(broken.Samples))
	server := work.Server{}
	for range 10 {
		server = server.WithDecode(1, now)
	}
	assert.Less(t, server.WithPeers(broken).DecodeFactor(now), 1.3, "one entry against ten samples of one's own")
	all := work.SharedPace{Log: 20 * broken.Log, Samples: 20 * broken.Samples}
	assert.Greater(t, server.WithPeers(all).DecodeFactor(now), 2.0, "twenty entries")
	assert.Equal(t, server.DecodeFactor(now), server.WithPeers(all).WithPeers(work.SharedPace{}).DecodeFactor(now), "reports that end")
	assert.Less(t, server.WithPeers(work.SharedPace{Log: 1 << 30, Samples: 1}).DecodeFactor(now), 8.0)
}
