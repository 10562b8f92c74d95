package duty_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/membership"
	fakekv "github.com/rosemaryspar/rosemaryspar/internal/fake/kv"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/lease"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/duty"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/kv"
)

type fixedView struct {
	view    membership.View
	claimed bool
}

func (fixed fixedView) View() membership.View { return fixed.view }
func (fixed fixedView) HasOtherLeader() bool  { return fixed.claimed }

// span is a time in which one entry worked.
type span struct {
	number     int64
	began, end time.Time
}

// Guards against two entries that perform a duty at once, fencing numbers that
// do not rise, and a duty that nobody takes up again.
func TestOneHolderAtATime(t *testing.T) {
	cases := []struct {
		name   string
		script func(service *lease.Service, stop func(entry int))
		// spans is how many times the duty is taken.
		spans int
	}{
		{"none", func(*lease.Service, func(int)) {}, 1},
		{"holder stops", func(_ *lease.Service, stop func(int)) { stop(0) }, 2},
		{"short outage", func(service *lease.Service, _ func(int)) {
			service.Inject(true, 0)
			<-time.After(7 * time.Second)
			service.Inject(false, 0)
		}, 1},
		{"long outage", func(service *lease.Service, _ func(int)) {
			service.Inject(true, 0)
			<-time.After(5 * time.Minute)
			service.Inject(false, 0)
		}, 2},
		{"lost answers to renewals", func(service *lease.Service, _ func(int)) { service.Inject(false, 2) }, 1},
		{"lost answer to the grant", func(service *lease.Service, stop func(int)) {
			service.Inject(true, 0)
			stop(0)
			<-time.After(5 * time.Minute)
			service.Inject(false, 1)
		}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				view := membership.View{}
				for _, name := range []string{"e1", "e2"} {
					view = view.WithMembers(membership.Member{Origin: membership.Origin{Name: name}, Condition: membership.ConditionAlive})
				}
				service := lease.New()
				spans := rcu.New[[]span](nil)
				holders := rcu.New[[]int](nil)
				var stops []context.CancelFunc
				for entry, name := range []string{"e1", "e2"} {
					ctx, stop := context.WithCancel(t.Context())
					stops = append(stops, stop)
					work := duty.WorkFunc(func(ctx context.Context, holding *duty.Leadership) error {
						began := time.Now()
						holders.Store([]int{entry})
						<-ctx.Done()
						assert.False(t, time.Now().After(holding.Until()), "the work is stopped in time")
						spans.Update(func(all []span) []span {
							return append(all[:len(all):len(all)], span{holding.Number(), began, time.Now()})
						})
						return nil
					})
					keeper := duty.NewElector(duty.Settings{Duty: "d", Self: name, TTL: duty.LeaseTTL}, service, fixedView{view: view}, work)
					go func() { _ = keeper.Run(ctx, func(error) {}) }()
				}
				<-time.After(time.Minute)
				c.script(service, func(int) { stops[holders.Load()[0]]() })
				<-time.After(3 * time.Minute)
				for _, stop := range stops {
					stop()
				}
				synctest.Wait()
				all := spans.Load()
				require.Len(t, all, c.spans)
				for i := range all[1:] {
					assert.Greater(t, all[i+1].number, all[i].number)
					assert.False(t, all[i+1].began.Before(all[i].end))
				}
			})
		})
	}
}

// asked counts the calls for a lease that nobody has.
type asked struct {
	service *lease.Service
	calls   *rcu.Cell[int]
}

func (asked asked) Acquire(ctx context.Context, key string, ttl time.Duration) (duty.Lease, error) {
	asked.calls.Update(func(calls int) int { return calls + 1 })
	return asked.service.Acquire(ctx, key, ttl)
}

// Guards against candidates that go on asking the service for a lease that a live entry holds.
func TestCandidateAsksOnlyWhileNobodyClaimsTheDuty(t *testing.T) {
	for _, claimed := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			view := membership.View{}.WithMembers(membership.Member{Origin: membership.Origin{Name: "e1"}, Condition: membership.ConditionAlive})
			leases := asked{lease.New(), rcu.New(0)}
			work := duty.WorkFunc(func(ctx context.Context, _ *duty.Leadership) error { <-ctx.Done(); return nil })
			keeper := duty.NewElector(duty.Settings{Duty: "d", Self: "e1", TTL: 3 * time.Second}, leases, fixedView{view, claimed}, work)
			go func() { _ = keeper.Run(ctx, func(error) {}) }()
			time.Sleep(time.Minute)
			assert.Equal(t, !claimed, keeper.IsLeader())
			assert.Equal(t, !claimed, leases.calls.Load() > 0, "%d calls", leases.calls.Load())
			stop()
			synctest.Wait()
			assert.False(t, keeper.IsLeader(), "after the end")
		})
	}
}

// Guards against an entry that is no candidate for a duty and asks for it all the same, or ends.
func TestEntryThatIsNoCandidateNeverAsks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		view := membership.View{}
		for i := range 9 {
			view = view.WithMembers(membership.Member{Origin: membership.Origin{Name: fmt.Sprint("e", i)}, Condition: membership.ConditionAlive})
		}
		asking := 0
		for i := range 9 {
			leases := asked{lease.New(), rcu.New(0)}
			work := duty.WorkFunc(func(ctx context.Context, _ *duty.Leadership) error { <-ctx.Done(); return nil })
			keeper := duty.NewElector(duty.Settings{Duty: "d", Self: fmt.Sprint("e", i), TTL: 3 * time.Second}, leases, fixedView{view: view}, work)
			go func() { _ = keeper.Run(ctx, func(error) {}) }()
			time.Sleep(time.Minute)
			if leases.calls.Load() > 0 {
				asking++
			}
		}
		assert.Equal(t, 3, asking)
		stop()
		synctest.Wait()
	})
}

// Guards against fencing numbers that do not come from the service's revision, and against a key that stays after a conflict.
func TestNumberIsTheRevisionAtWhichTheKeyWasCreated(t *testing.T) {
	server, err := fakekv.Start("127.0.0.1:0")
	require.NoError(t, err)
	client := kv.New(kv.DefaultSettings(server.Address()))
	t.Cleanup(func() {
		client.Close()
		require.NoError(t, server.Close())
	})
	first, err := duty.NewKVLeases(client, "e1").Acquire(t.Context(), "duties/d", duty.LeaseTTL)
	require.NoError(t, err)
	second, err := duty.NewKVLeases(client, "e2").Acquire(t.Context(), "duties/d", duty.LeaseTTL)
	require.NoError(t, err)
	assert.Nil(t, second, "another entry has it")
	assert.Equal(t, server.State().Items("duties/d", "")[0].CreateRevision, first.Number())
	require.NoError(t, first.KeepAlive(t.Context()))
	require.NoError(t, first.Revoke(t.Context()))
	require.ErrorIs(t, first.KeepAlive(t.Context()), duty.ErrLost)
	server.Inject(func(faults fakekv.Faults) fakekv.Faults { return faults.WithOut(true) })
	_, err = duty.NewKVLeases(client, "e2").Acquire(t.Context(), "duties/d", duty.LeaseTTL)
	require.Error(t, err)
	server.Inject(func(faults fakekv.Faults) fakekv.Faults { return faults.WithOut(false) })
	second, err = duty.NewKVLeases(client, "e2").Acquire(t.Context(), "duties/d", duty.LeaseTTL)
	require.NoError(t, err)
	assert.Greater(t, second.Number(), first.Number())
}
