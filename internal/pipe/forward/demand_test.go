package forward_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/prefill"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/forward"
)

// Guards against a prefill rate that no server has: a prompt that the entry takes for uncached, but which another entry has sent to
// the server before, seems to be read ten times as fast. The leader then released nearly all servers of a service.
func TestPromptsThatWereCachedDoNotRaiseThePrefillRate(t *testing.T) {
	const serverRate, tokens, service = 40_000.0, 9_000, "engines"
	for seed := range uint64(50) {
		t.Run(fmt.Sprint("seed_", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 0))
				demand := forward.NewDemand(virtualClock{time.Now()})
				for sample := range 200 {
					readTime := time.Duration(tokens / serverRate * float64(time.Second))
					switch random.IntN(10) {
					case 0: // cached but for a part
						readTime /= 10
					case 1, 2, 3, 4, 5: // behind the prompts of other entries
						readTime = time.Duration(float64(readTime) * (1 + 2*random.Float64()))
					}
					demand.RecordPrefill(service, tokens, readTime)
					rate := prefill.NewEstimate(service, demand.PrefillSamples()).Rate
					if rate == 0 {
						continue
					}
					assert.LessOrEqual(t, rate, 1.1*serverRate, "after %d samples", sample+1)
					assert.GreaterOrEqual(t, rate, serverRate/3, "after %d samples", sample+1)
				}
				assert.NotZero(t, prefill.NewEstimate(service, demand.PrefillSamples()).Rate)
			})
		})
	}
}

// virtualClock is the virtual time of a synctest bubble.
type virtualClock struct{ start time.Time }

func (clock virtualClock) Now() time.Duration { return time.Since(clock.start) }

// Guards against a prefill rate far below that of the servers, for which the leader ordered three times the servers needed: at a busy
// service, most prompts wait behind others.
func TestPromptsThatWaitedDoNotLowerThePrefillRate(t *testing.T) {
	const serverRate, tokens, service = 40_000.0, 9_000, "engines"
	for seed := range uint64(50) {
		t.Run(fmt.Sprint("seed_", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 1))
				demand := forward.NewDemand(virtualClock{time.Now()})
				for sample := range 200 {
					readTime := tokens / serverRate * float64(time.Second)
					if random.IntN(10) < 8 {
						readTime *= 1 + 5*random.Float64()
					}
					demand.RecordPrefill(service, tokens, time.Duration(readTime))
					if rate := prefill.NewEstimate(service, demand.PrefillSamples()).Rate; rate > 0 {
						assert.GreaterOrEqual(t, rate, serverRate/2, "after %d samples", sample+1)
						assert.LessOrEqual(t, rate, 1.1*serverRate, "after %d samples", sample+1)
					}
				}
			})
		})
	}
}
