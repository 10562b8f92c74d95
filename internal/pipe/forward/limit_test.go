package forward_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/cluster"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/quota"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/route"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/forward"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// testClock is a clock that starts with the test.
type testClock struct{ started time.Time }

func (testClock testClock) Now() time.Duration { return time.Since(testClock.started) }

// admittedAfterStart returns how many of 2,000 requests an entry admits in the first half second after its start, at a limit
// of 1,000 a second with a burst of 10,000. The store has the number of recorded entries, 0 for none, and the entry has been
// in contact with a peer from the start.
func admittedAfterStart(t *testing.T, recorded int) int {
	t.Helper()
	account := route.Account{Name: "desk", Limit: route.Limit{PerSecond: 1000, Burst: 10000}}
	limits := forward.NewLimits(testClock{time.Now()})
	peers := []cluster.Aggregate{{ID: "peer#1"}}
	limits.MergePeers(peers, 2, []route.Account{account})
	if recorded > 0 {
		limits.SetRecordedEntries(recorded)
	}
	limits.MergePeers(peers, 2, []route.Account{account})
	admitted := 0
	handler := request.Chain(request.HandlerFunc(func(_ context.Context, exchange request.Exchange) (request.Exchange, error) {
		admitted++
		return exchange, nil
	}), limits.Filter())
	for range 2000 {
		_, _ = handler.Handle(t.Context(), request.Exchange{}.WithClientAccount(account))
		time.Sleep(200 * time.Microsecond)
	}
	return admitted
}

// Guards against a rule of the settings file that does not reach the buckets: calls within the limit would be refused while an
// excess of other entries is paid back, which the allowance of the window covers.
func TestExcessWithinTheAllowanceRefusesNoCalls(t *testing.T) {
	for _, window := range []quota.Window{{}, {Length: 8 * time.Second, Over: 0.1, Slack: 4000}} {
		synctest.Test(t, func(t *testing.T) {
			account := route.Account{Name: "desk", Limit: route.Limit{PerSecond: 1000, Burst: 1000, CountsTokens: true, DefaultTokens: 20}}
			limits := forward.NewLimits(testClock{time.Now()})
			limits.SetWindow(window)
			refused := 0
			handler := request.Chain(request.HandlerFunc(func(_ context.Context, exchange request.Exchange) (request.Exchange, error) {
				return exchange, nil
			}), limits.Filter())
			total := 0.0
			for i := range 80 {
				total += 50
				if i >= 40 && i < 50 {
					total += 300
				}
				limits.MergePeers([]cluster.Aggregate{{ID: "peer#1", Admitted: map[string]float64{"desk": total}, Asked: map[string]float64{"desk": total}}}, 2, []route.Account{account})
				if _, err := handler.Handle(t.Context(), request.Exchange{}.WithClientAccount(account)); err != nil && i >= 64 {
					refused++
				}
				time.Sleep(100 * time.Millisecond)
			}
			assert.Equal(t, window.Length > 0, refused == 0, "%d refused, window %v", refused, window)
		})
	}
}

// Guards against a fleet whose entries all restart at once: each uses its share of a limit until it has counted the others,
// so that they neither exceed the limit together nor refuse most of it where they are few.
func TestEntriesThatStartUseTheirShareByTheStoredFleetSize(t *testing.T) {
	cases := []struct {
		name              string
		recorded, entries int
	}{
		{"few entries", 9, 9},
		{"many entries", 295, 295},
		{"not recorded", 0, 100},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const limit = 10000 + 1000/2 // the burst, and the rate of half a second
				together := admittedAfterStart(t, c.recorded) * c.entries
				assert.LessOrEqual(t, together, limit)
				assert.GreaterOrEqual(t, together, limit/2)
			})
		})
	}
}

// Guards against a refusal by a limit of which the log does not tell what the entry knew of the others, and how old that was.
func TestRefusalByALimitTellsWhatTheEntryKnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		account := route.Account{Name: "desk", Limit: route.Limit{PerSecond: 100, Burst: 100}}
		limits := forward.NewLimits(testClock{time.Now()})
		report := func(asked float64) {
			peers := []cluster.Aggregate{{ID: "peer#1", Asked: map[string]float64{"desk": asked}, Admitted: map[string]float64{"desk": asked}}}
			limits.MergePeers(peers, 2, []route.Account{account})
		}
		time.Sleep(time.Second)
		report(0)
		time.Sleep(2 * time.Second)
		report(0)
		time.Sleep(time.Second)
		report(5000)
		time.Sleep(700 * time.Millisecond)
		handler := request.Chain(request.HandlerFunc(func(_ context.Context, exchange request.Exchange) (request.Exchange, error) {
			return exchange, nil
		}), limits.Filter())
		ended, err := handler.Handle(t.Context(), request.Exchange{}.WithClientAccount(account))
		assert.Error(t, err)
		assert.Len(t, ended.Decisions, 1)
		for _, want := range []string{"limit 100/s", "asked 5001/s", "fraction 0.000", "oldest report 0.700s"} {
			assert.Contains(t, ended.Decisions[0].Detail, want)
		}
	})
}
