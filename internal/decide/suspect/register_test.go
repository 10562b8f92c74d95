package suspect_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/suspect"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against resends that pass as new requests, and accounts that taint each other's requests.
func TestFingerprintFollowsAccountAndContent(t *testing.T) {
	first := call.Request{ID: "1", Account: "desk", Service: "menu", Completion: call.Completion{Prompt: "p"}}
	resend, other := first, first
	resend.ID = "2"
	other.Account = "kitchen"
	assert.Equal(t, suspect.FingerprintOf(first), suspect.FingerprintOf(resend))
	assert.NotEqual(t, suspect.FingerprintOf(first), suspect.FingerprintOf(other))
}

// Guards against entries that disagree after they exchanged their registers.
func TestMergeDoesNotDependOnOrder(t *testing.T) {
	one, two := suspect.Fingerprint{Content: 1}, suspect.Fingerprint{Content: 2}
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	registers := []suspect.Tracker{
		{},
		suspect.Tracker{}.WithCrash(one, "a", at(1)),
		suspect.Tracker{}.WithCrash(one, "b", at(2)).WithCrash(two, "b", at(2)),
		suspect.Tracker{}.WithCrash(one, "a", at(3)).WithFinished(one, at(4)),
		suspect.Tracker{}.WithCrash(two, "c", at(5)).WithFinished(two, at(1)),
	}
	for _, x := range registers {
		assert.Equal(t, x.Merge(x), x.Merge(x).Merge(x))
		for _, y := range registers {
			assert.Equal(t, x.Merge(y), y.Merge(x))
			for _, z := range registers {
				assert.Equal(t, x.Merge(y).Merge(z), x.Merge(y.Merge(z)))
			}
		}
	}
	all := registers[1].Merge(registers[2]).Merge(registers[4])
	assert.Equal(t, suspect.VerdictQuarantined, all.Verdict(one, at(6)))
	assert.Equal(t, suspect.VerdictQuarantined, all.Verdict(two, at(6)))
	assert.Equal(t, suspect.VerdictClear, all.Merge(registers[3]).Verdict(one, at(6)), "finished after its crashes")
	assert.Equal(t, suspect.VerdictClear, all.Verdict(one, at(6).Add(time.Hour)), "crashes are old")
}

// Guards against exchanges that carry every request which was in flight when many servers crashed, and
// against a request that crashes server after server and is crowded out by these.
func TestWorstSuspectsAreToldFirst(t *testing.T) {
	register := suspect.Tracker{}
	for i := range 500 {
		register = register.WithCrash(suspect.Fingerprint{Content: uint64(1000 + i)}, "a", start.Add(time.Second))
	}
	guilty := suspect.Fingerprint{Content: 1}
	register = register.WithCrash(guilty, "b", start).WithCrash(guilty, "c", start)
	register = register.WithCrash(suspect.Fingerprint{Content: 2}, "d", start.Add(2*time.Second)).WithFinished(suspect.Fingerprint{Content: 2}, start.Add(3*time.Second))
	worst := register.TopCrashReports(10, start.Add(5*time.Second), time.Minute)
	assert.Len(t, worst, 10)
	assert.Equal(t, guilty, worst[0].Fingerprint)
	assert.Equal(t, guilty, worst[1].Fingerprint)
	assert.Empty(t, register.TopCrashReports(10, start.Add(time.Hour), time.Minute))
	assert.Equal(t, 1, register.WithMaxAge(start.Add(61500*time.Millisecond), time.Minute).Len(), "the one that ended last")
}

// Guards against a register that is copied for each report that is told again.
func TestKnownReportsChangeNothing(t *testing.T) {
	register := suspect.Tracker{}
	for i := range 200 {
		register = register.WithCrash(suspect.Fingerprint{Content: uint64(i)}, "a", start)
	}
	reports := register.Reports()
	assert.Zero(t, testing.AllocsPerRun(10, func() { register = register.WithReports(reports).WithExpired(start) }))
	assert.Equal(t, 200, register.Len())
	assert.Equal(t, register, suspect.Tracker{}.WithReports(reports))
}
