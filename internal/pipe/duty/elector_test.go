package duty_test

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
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

// fixedView is a [duty.Membership] that does not change.
type fixedView struct {
	view           membership.View
	hasOtherLeader bool
}

func (fixed fixedView) View() membership.View { return fixed.view }
func (fixed fixedView) HasOtherLeader() bool  { return fixed.hasOtherLeader }

// span is an interval in which one entry performed the work, under one fencing number.
type span struct {
	number     int64
	start, end time.Time
}

// Guards against two entries that lead a duty at the same time, fencing numbers that do
// not increase, and a duty that has no leader again after its leader ended or the
// service was out.
func TestOneLeaderAtATime(t *testing.T) {
	cases := []struct {
		name   string
		script func(service *lease.Service, stop func(entry int))
		// spans is the number of leaderships.
		spans int
	}{
		{"no fault", func(*lease.Service, func(int)) {}, 1},
		{"leader stops", func(_ *lease.Service, stop func(int)) { stop(0) }, 2},
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
				leaders := rcu.New[[]int](nil)
				var stops []context.CancelFunc
				for entry, name := range []string{"e1", "e2"} {
					ctx, stop := context.WithCancel(t.Context())
					stops = append(stops, stop)
					work := duty.WorkFunc(func(ctx context.Context, leadership *duty.Leadership) error {
						start := time.Now()
						leaders.Store([]int{entry})
						<-ctx.Done()
						assert.False(t, time.Now().After(leadership.Until()), "the work is cancelled before the lease ends")
						spans.Update(func(all []span) []span {
							return append(all[:len(all):len(all)], span{leadership.FencingNumber(), start, time.Now()})
						})
						return nil
					})
					elector := duty.NewElector(duty.Settings{Duty: "d", Self: name, TTL: duty.LeaseTTL}, service, fixedView{view: view}, work)
					go func() { _ = elector.Run(ctx, func(error) {}) }()
				}
				<-time.After(time.Minute)
				c.script(service, func(int) { stops[leaders.Load()[0]]() })
				<-time.After(3 * time.Minute)
				for _, stop := range stops {
					stop()
				}
				synctest.Wait()
				performed := spans.Load()
				require.Len(t, performed, c.spans)
				for i := range performed[1:] {
					assert.Greater(t, performed[i+1].number, performed[i].number)
					assert.False(t, performed[i+1].start.Before(performed[i].end))
				}
			})
		})
	}
}

// countingLeases counts the attempts to acquire a lease.
type countingLeases struct {
	service *lease.Service
	calls   *rcu.Cell[int]
}

func (countingLeases countingLeases) Acquire(ctx context.Context, key string, ttl time.Duration) (duty.Lease, error) {
	countingLeases.calls.Update(func(calls int) int { return calls + 1 })
	return countingLeases.service.Acquire(ctx, key, ttl)
}

// Guards against candidates that keep calling the service for a lease that a live entry holds.
func TestCandidateTriesOnlyWithoutAnotherLeader(t *testing.T) {
	for _, hasOtherLeader := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			view := membership.View{}.WithMembers(membership.Member{Origin: membership.Origin{Name: "e1"}, Condition: membership.ConditionAlive})
			leases := countingLeases{lease.New(), rcu.New(0)}
			work := duty.WorkFunc(func(ctx context.Context, _ *duty.Leadership) error { <-ctx.Done(); return nil })
			elector := duty.NewElector(duty.Settings{Duty: "d", Self: "e1", TTL: 3 * time.Second}, leases, fixedView{view, hasOtherLeader}, work)
			go func() { _ = elector.Run(ctx, func(error) {}) }()
			time.Sleep(time.Minute)
			assert.Equal(t, !hasOtherLeader, elector.IsLeader())
			assert.Equal(t, !hasOtherLeader, leases.calls.Load() > 0, "%d calls", leases.calls.Load())
			stop()
			synctest.Wait()
			assert.False(t, elector.IsLeader(), "after the elector has stopped")
		})
	}
}

// Guards against an entry that is not a candidate for a duty but tries to acquire its lease, or crashes.
func TestEntryThatIsNoCandidateNeverTries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		view := membership.View{}
		for i := range 9 {
			view = view.WithMembers(membership.Member{Origin: membership.Origin{Name: fmt.Sprint("e", i)}, Condition: membership.ConditionAlive})
		}
		// acquiring is the number of entries that tried to acquire the lease; three of nine are candidates.
		acquiring := 0
		for i := range 9 {
			leases := countingLeases{lease.New(), rcu.New(0)}
			work := duty.WorkFunc(func(ctx context.Context, _ *duty.Leadership) error { <-ctx.Done(); return nil })
			elector := duty.NewElector(duty.Settings{Duty: "d", Self: fmt.Sprint("e", i), TTL: 3 * time.Second}, leases, fixedView{view: view}, work)
			go func() { _ = elector.Run(ctx, func(error) {}) }()
			time.Sleep(time.Minute)
			if leases.calls.Load() > 0 {
				acquiring++
			}
		}
		assert.Equal(t, 3, acquiring)
		stop()
		synctest.Wait()
	})
}

// pausingLeases grants leases that do not expire while the service is out.
type pausingLeases struct {
	out      atomic.Bool
	ended    atomic.Bool
	grants   atomic.Int64
	released atomic.Bool
}

func (leases *pausingLeases) Acquire(context.Context, string, time.Duration) (duty.Lease, error) {
	if leases.out.Load() {
		return nil, errors.New("503")
	}
	return pausingLease{leases, leases.grants.Add(1)}, nil
}

type pausingLease struct {
	leases *pausingLeases
	number int64
}

func (lease pausingLease) FencingNumber() int64 { return lease.number }
func (lease pausingLease) TTL() time.Duration   { return 3 * time.Second }
func (lease pausingLease) KeepAlive(context.Context) error {
	switch {
	case lease.leases.out.Load():
		return errors.New("503")
	case lease.leases.ended.Load():
		return duty.ErrLeaseLost
	}
	return nil
}

func (lease pausingLease) Revoke(context.Context) error {
	if lease.leases.out.Load() {
		return errors.New("503")
	}
	lease.leases.released.Store(true)
	return nil
}

// Guards against a duty without a leader for a lease time after an outage of the service in which leases do not expire: the
// key of the leader that had stopped kept all entries from becoming the leader, that one included. Guards, too, against a
// leader that resumes after its lease has ended.
func TestLeaderResumesAfterAnOutageWithItsLease(t *testing.T) {
	for _, ends := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			view := membership.View{}.WithMembers(membership.Member{Origin: membership.Origin{Name: "e1"}, Condition: membership.ConditionAlive})
			leases, working := &pausingLeases{}, atomic.Int64{}
			work := duty.WorkFunc(func(ctx context.Context, leadership *duty.Leadership) error {
				working.Store(leadership.FencingNumber())
				defer working.Store(0)
				<-ctx.Done()
				return nil
			})
			elector := duty.NewElector(duty.Settings{Duty: "d", Self: "e1", TTL: 3 * time.Second}, leases, fixedView{view: view}, work)
			go func() { _ = elector.Run(ctx, func(error) {}) }()
			<-time.After(5 * time.Second)
			assert.EqualValues(t, 1, working.Load())
			leases.out.Store(true)
			<-time.After(4 * time.Second)
			assert.Zero(t, working.Load(), "the work stops before the lease may have ended")
			assert.False(t, elector.IsLeader())
			leases.ended.Store(ends)
			leases.out.Store(false)
			<-time.After(time.Second)
			if ends {
				assert.NotEqualValues(t, 1, working.Load(), "after the lease has ended")
				leases.ended.Store(false)
				<-time.After(2 * time.Second)
				assert.EqualValues(t, 2, working.Load())
			} else {
				assert.EqualValues(t, 1, working.Load(), "with the number of its lease")
				assert.True(t, elector.IsLeader())
			}
			stop()
			synctest.Wait()
		})
	}
}

// Guards against a duty without a leader for a lease time after an outage in which its leader was stopped, and against a
// stop that does not end while the service is out.
func TestStoppingLeaderReleasesItsLeaseAfterAnOutage(t *testing.T) {
	cases := []struct {
		name     string
		outage   time.Duration
		released bool
		// stoppedWithin is the time after the signal to stop in which the elector must have returned.
		stoppedWithin time.Duration
	}{
		{"no outage", 0, true, 0},
		{"outage that ends", 3 * time.Second, true, 4 * time.Second},
		{"outage that goes on", time.Minute, false, 7 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				view := membership.View{}.WithMembers(membership.Member{Origin: membership.Origin{Name: "e1"}, Condition: membership.ConditionAlive})
				leases, reported := &pausingLeases{}, make(chan error, 10)
				work := duty.WorkFunc(func(ctx context.Context, _ *duty.Leadership) error { <-ctx.Done(); return nil })
				settings := duty.Settings{Duty: "d", Self: "e1", TTL: 3 * time.Second, ReleaseTime: 7 * time.Second}
				elector := duty.NewElector(settings, leases, fixedView{view: view}, work)
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					_ = elector.Run(ctx, func(err error) { reported <- err })
				}()
				<-time.After(5 * time.Second)
				require.True(t, elector.IsLeader())
				leases.out.Store(c.outage > 0)
				time.AfterFunc(c.outage, func() { leases.out.Store(false) })
				stoppedAt := time.Now()
				stop()
				<-ended
				assert.Equal(t, c.released, leases.released.Load())
				assert.LessOrEqual(t, time.Since(stoppedAt), c.stoppedWithin)
				assert.Equal(t, c.released, len(reported) == 0, "a lease that is not released is reported")
			})
		})
	}
}

// growingView is the [duty.Membership] of an entry that has just started: it knows the other entries from a time on.
type growingView struct {
	alone, all membership.View
	contactAt  time.Time
}

func (growing growingView) View() membership.View {
	if time.Now().Before(growing.contactAt) {
		return growing.alone
	}
	return growing.all
}

func (growing growingView) HasOtherLeader() bool { return false }

// Guards against a call to the service by every entry of a fleet that starts: each was a candidate when it began to wait,
// before it had contact to the others.
func TestEntryThatIsNoCandidateAnyMoreDoesNotTry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		all := membership.View{}
		member := func(i int) membership.Member {
			return membership.Member{Origin: membership.Origin{Name: fmt.Sprint("e", i)}, Condition: membership.ConditionAlive}
		}
		for i := range 9 {
			all = all.WithMembers(member(i))
		}
		acquiring := 0
		service := lease.New()
		var counts []countingLeases
		for i := range 9 {
			view := growingView{membership.View{}.WithMembers(member(i)), all, time.Now().Add(300 * time.Millisecond)}
			leases := countingLeases{service, rcu.New(0)}
			counts = append(counts, leases)
			work := duty.WorkFunc(func(ctx context.Context, _ *duty.Leadership) error { <-ctx.Done(); return nil })
			elector := duty.NewElector(duty.Settings{Duty: "d", Self: fmt.Sprint("e", i), TTL: 3 * time.Second}, leases, view, work)
			go func() { _ = elector.Run(ctx, func(error) {}) }()
		}
		<-time.After(2 * time.Second)
		for _, leases := range counts {
			if leases.calls.Load() > 0 {
				acquiring++
			}
		}
		assert.GreaterOrEqual(t, acquiring, 1)
		assert.LessOrEqual(t, acquiring, 3, "entries that tried to acquire the lease, of three candidates among nine")
		stop()
		synctest.Wait()
	})
}

// Guards against fencing numbers other than the revision at which the lease's key was created, and
// against a key that remains after a conflict or after its lease has ended, so that the lease
// cannot be acquired again.
func TestFencingNumberIsTheCreateRevisionOfTheKey(t *testing.T) {
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
	assert.Nil(t, second, "another entry has the lease")
	assert.Equal(t, server.State().Items("duties/d", "")[0].CreateRevision, first.FencingNumber())
	require.NoError(t, first.KeepAlive(t.Context()))
	require.NoError(t, first.Revoke(t.Context()))
	require.ErrorIs(t, first.KeepAlive(t.Context()), duty.ErrLeaseLost)
	server.Inject(func(faults fakekv.Faults) fakekv.Faults { return faults.WithOut(true) })
	_, err = duty.NewKVLeases(client, "e2").Acquire(t.Context(), "duties/d", duty.LeaseTTL)
	require.Error(t, err)
	server.Inject(func(faults fakekv.Faults) fakekv.Faults { return faults.WithOut(false) })
	second, err = duty.NewKVLeases(client, "e2").Acquire(t.Context(), "duties/d", duty.LeaseTTL)
	require.NoError(t, err)
	assert.Greater(t, second.FencingNumber(), first.FencingNumber())
}
