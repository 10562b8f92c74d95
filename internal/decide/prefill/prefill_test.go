package prefill_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/prefill"
)

const (
	service    = "engines"
	serverRate = 40_000.0
)

// samplesAt returns the counts of an entry with a number of samples of one rate, taken at a time.
func samplesAt(count int, rate float64, at time.Duration) prefill.Samples {
	samples := prefill.Samples{}
	for range count {
		samples = samples.WithSample(service, rate, at)
	}
	return samples
}

// Guards against a plan that follows the wrong samples of one entry, which may be the leader: with its own samples alone, it
// took a rate ten times too high for that of the servers, and released nearly all of them.
func TestSamplesOfOneEntryDoNotDecideTheRate(t *testing.T) {
	for name, wrong := range map[string]float64{"ten times too high": 10 * serverRate, "ten times too low": serverRate / 10} {
		counts := []prefill.Counts{samplesAt(40, wrong, time.Second).Counts(time.Second)}
		for range 29 {
			counts = append(counts, samplesAt(6, serverRate, time.Second).Counts(time.Second))
		}
		estimate := prefill.NewEstimate(service, counts...)
		assert.InDelta(t, serverRate, estimate.Rate, serverRate/10, name)
		assert.Equal(t, 40+29*6, estimate.Samples, name)
	}
}

// Guards against a few wrong samples at the start that decide the rate before there are others.
func TestFirstSamplesAreComparedWithTheNominalRate(t *testing.T) {
	assert.InDelta(t, prefill.NominalRate, prefill.NewEstimate(service).Rate, prefill.NominalRate/10)
	counts := samplesAt(10, 10*serverRate, 0).Counts(0)
	assert.InDelta(t, prefill.NominalRate, prefill.NewEstimate(service, counts).Rate, prefill.NominalRate/10)
}

// Guards against a wrong rate that stays because nothing is measured any more once the servers are released.
func TestWrongSamplesAreForgotten(t *testing.T) {
	samples := samplesAt(1000, 10*serverRate, 10*time.Second)
	assert.InDelta(t, 10*serverRate, prefill.NewEstimate(service, samples.Counts(30*time.Second)).Rate, serverRate)
	assert.InDelta(t, prefill.NominalRate, prefill.NewEstimate(service, samples.Counts(70*time.Second)).Rate, prefill.NominalRate/10)
	samples = samples.WithSample(service, serverRate, 75*time.Second)
	assert.Equal(t, 1, prefill.NewEstimate(service, samples.Counts(76*time.Second)).Samples)
}
