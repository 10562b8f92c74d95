package control_test

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/membership"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/control"
)

// fixedSource is a source that sends fixed values and then returns err, or waits until ctx ends if err is nil.
type fixedSource[T any] struct {
	values []T
	err    error
}

func (fixedSource fixedSource[T]) Run(ctx context.Context, out chan<- T) error {
	for _, value := range fixedSource.values {
		select {
		case out <- value:
		case <-ctx.Done():
			return nil
		}
	}
	if fixedSource.err == nil {
		<-ctx.Done()
	}
	return fixedSource.err
}

// Guards against rejected values that reach the published state, and against stages that go
// on after another stage of the group failed.
func TestPipelinePublishesValidValuesAndStopsTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		failed := errors.New("source failed")
		var rejected []string
		cell := rcu.New(0)
		group := control.NewGroup(t.Context())
		in := control.Read(group, fixedSource[string]{values: []string{"1", "x", "2", "4"}})
		numbers := control.Validate(group, in, strconv.Atoi, func(value string, _ error) { rejected = append(rejected, value) })
		control.Publish(group, control.Merge(group, numbers, 10, func(sum, n int) int { return sum + n }), cell)
		synctest.Wait()
		assert.Equal(t, 17, cell.Load())
		assert.Equal(t, []string{"x"}, rejected)
		control.Read(group, fixedSource[string]{err: failed})
		assert.ErrorIs(t, group.Wait(), failed)
	})
}

// fakePeerLog returns the log entries that a peer holds, two at a time.
type fakePeerLog struct{ entries []control.LogEntry }

func (fakePeerLog fakePeerLog) Since(_ context.Context, _ membership.Member, revision int64) ([]control.LogEntry, error) {
	first := slices.IndexFunc(fakePeerLog.entries, func(entry control.LogEntry) bool { return entry.Number > revision })
	if first < 0 {
		return nil, errors.New("nothing newer")
	}
	return fakePeerLog.entries[first:min(first+2, len(fakePeerLog.entries))], nil
}

// entries returns log entries with the given numbers; a negative number denotes a checkpoint.
func entries(numbers ...int64) []control.LogEntry {
	var list []control.LogEntry
	for _, number := range numbers {
		list = append(list, control.LogEntry{Number: max(number, -number), Checkpoint: number < 0})
	}
	return list
}

// Guards against a configuration that returns to an earlier revision, skips a change, or
// misses changes that peers have.
func TestLogFollowerPassesOnEachChangeOnceInOrder(t *testing.T) {
	cases := []struct {
		name  string
		log   []control.LogEntry
		peers []control.LogEntry
		// revision is the highest revision that the membership state contains.
		revision int64
		want     []int64
	}{
		{"in order", entries(1, 2, 3), nil, 0, []int64{1, 2, 3}},
		{"out of order and repeated", entries(2, 1, 1, 3, 2), nil, 0, []int64{1, 2, 3}},
		{"gap filled by peers", entries(1, 5), entries(1, 2, 3, 4), 0, []int64{1, 2, 3, 4, 5}},
		{"no log at all", nil, entries(1, 2, 3, 4, 5), 5, []int64{1, 2, 3, 4, 5}},
		{"peers hold a checkpoint only", entries(1), entries(-7, 8), 8, []int64{1, 7, 8}},
		{"old checkpoint", entries(1, 2, 3, -2, 4), nil, 0, []int64{1, 2, 3, 4}},
		{"gap that no peer fills", entries(1, 3), nil, 0, []int64{1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				state := membership.NewState(membership.Origin{Name: "self"}, membership.Profile{}).WithListings([]membership.Listing{{Name: "peer"}}).WithRevision(c.revision)
				follower := control.NewLogFollower(rcu.New(state), fakePeerLog{c.peers}, newRandom(1))
				group := control.NewGroup(ctx)
				var got []int64
				cell := rcu.New[[]int64](nil)
				out := follower.Stage(group, control.Read(group, fixedSource[control.LogEntry]{values: c.log}))
				control.Publish(group, control.Merge(group, out, got, func(got []int64, entry control.LogEntry) []int64 {
					return append(slices.Clip(got), entry.Number)
				}), cell)
				<-time.After(10 * time.Second)
				cancel()
				assert.NoError(t, group.Wait())
				assert.Equal(t, c.want, cell.Load())
				assert.Equal(t, c.want[len(c.want)-1], follower.Revision())
			})
		})
	}
}
