package metadata_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rosemaryspar/rosemaryspar/internal/platform/metadata"
)

// source is a store with a history, whose next calls fail with the given errors.
type source struct {
	items     map[string]metadata.Item
	events    []metadata.Event
	revision  int64
	compacted int64
	watchErr  error
	listErr   error
	lists     int
	watches   int
}

func (source *source) put(key, value string) {
	source.revision++
	item := metadata.Item{Key: key, Value: []byte(value), Revision: source.revision}
	source.items[key] = item
	source.events = append(source.events, metadata.Event{Item: item})
}

func (source *source) remove(key string) {
	source.revision++
	delete(source.items, key)
	source.events = append(source.events, metadata.Event{Item: metadata.Item{Key: key, Revision: source.revision}, Removed: true})
}

func (source *source) List(context.Context, string) ([]metadata.Item, int64, error) {
	source.lists++
	var items []metadata.Item
	for _, item := range source.items {
		items = append(items, item)
	}
	return items, source.revision, source.listErr
}

func (source *source) Watch(_ context.Context, _ string, after int64, _ time.Duration) ([]metadata.Event, int64, error) {
	source.watches++
	switch {
	case source.watchErr != nil:
		return nil, 0, source.watchErr
	case after < source.compacted:
		return nil, 0, metadata.ErrCompacted
	}
	var events []metadata.Event
	for _, event := range source.events {
		if event.Revision > after {
			events = append(events, event)
		}
	}
	return events, source.revision, nil
}

// read returns the values by key that the follower reads.
func read(t require.TestingT, follower *metadata.Follower) map[string]string {
	listing, err := follower.Read(context.Background())
	require.NoError(t, err)
	values := map[string]string{}
	for _, item := range listing.Items() {
		values[item.Key] = string(item.Value)
	}
	return values
}

// Guards against a copy that misses a change: in any order of writes, removals, lost histories and failed watches, a read
// returns what the store has.
func TestFollowerReadsWhatTheStoreHas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source := &source{items: map[string]metadata.Item{}, revision: 3}
		follower := metadata.NewFollower(source, "", 0)
		for range 20 {
			key := fmt.Sprint("k", rapid.IntRange(0, 3).Draw(t, "key"))
			source.watchErr = nil
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				source.put(key, fmt.Sprint(source.revision))
			case 2:
				source.remove(key)
			case 3:
				source.compacted = source.revision
			case 4:
				source.watchErr = errors.New("connection reset")
			}
			want := map[string]string{}
			for _, item := range source.items {
				want[item.Key] = string(item.Value)
			}
			assert.Equal(t, want, read(t, follower))
		}
	})
}

// Guards against reads that take as many calls as there are pages of items, against a second call to a store that has
// just refused one, and against changes of minutes in one answer.
func TestFollowerAsksForTheChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &source{items: map[string]metadata.Item{}, revision: 3}
		follower := metadata.NewFollower(source, "", 0)
		for range 10 {
			source.put("k", "v")
			assert.Equal(t, map[string]string{"k": "v"}, read(t, follower))
			time.Sleep(time.Second)
		}
		assert.Equal(t, 1, source.lists)
		assert.Equal(t, 9, source.watches)
		source.watchErr = &metadata.RefusedError{Status: 503}
		_, err := follower.Read(t.Context())
		require.Error(t, err)
		assert.Equal(t, 1, source.lists, "the store refused the call")
		time.Sleep(time.Minute)
		source.watchErr = nil
		assert.Equal(t, map[string]string{"k": "v"}, read(t, follower))
		assert.Equal(t, 2, source.lists)
		assert.Equal(t, 10, source.watches, "no changes of a minute")
	})
}
