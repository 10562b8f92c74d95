package kv

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// State is all data of the service at one revision. It is immutable.
type State struct {
	revision int64
	// compacted is the earliest revision that can still be read or watched.
	compacted int64
	items     []Item // sorted by key
	lastEvent *event
	leases    map[int64]lease
}

// Item is a key with its value, its revisions and its lease.
type Item struct {
	Key            string
	Value          []byte
	CreateRevision int64
	ModRevision    int64
	// Version is the number of writes to the key since it was created.
	Version int64
	// Lease is the id of the lease that the key is attached to, or 0.
	Lease int64
}

// event is one change of a key, linked to the change before it.
type event struct {
	previousEvent *event
	revision      int64
	deleted       bool
	item          Item
	// previousItem is the item before the change, nil when the key was absent.
	previousItem *Item
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Revision returns the number of the latest change.
func (state State) Revision() int64 { return state.revision }

// Items returns the items with keys in [key, end), sorted by key, or the item of key when end is empty.
func (state State) Items(key, end string) []Item {
	from, _ := slices.BinarySearchFunc(state.items, key, compareKey)
	to := from
	for to < len(state.items) && inRange(state.items[to].Key, key, end) {
		to++
	}
	return slices.Clip(state.items[from:to])
}

// At returns the state at an earlier revision, which it computes by undoing the changes since then.
func (state State) At(revision int64) State {
	for change := state.lastEvent; change != nil && change.revision > revision; change = change.previousEvent {
		if change.previousItem != nil {
			state.items = withItem(state.items, *change.previousItem)
			continue
		}
		state.items = withoutKey(state.items, change.item.Key)
	}
	state.revision = min(state.revision, revision)
	return state
}

// withPut returns the state after a put at the given revision.
func (state State) withPut(revision int64, key string, value []byte, leaseID int64) State {
	item := Item{Key: key, Value: value, CreateRevision: revision, ModRevision: revision, Version: 1, Lease: leaseID}
	change := &event{previousEvent: state.lastEvent, revision: revision}
	if existing := state.Items(key, ""); len(existing) > 0 {
		item.CreateRevision = existing[0].CreateRevision
		item.Version = existing[0].Version + 1
		change.previousItem = &existing[0]
	}
	change.item = item
	state.items = withItem(state.items, item)
	state.lastEvent = change
	state.revision = revision
	return state
}

// withDelete returns the state after the item was deleted at the given revision.
func (state State) withDelete(revision int64, item Item) State {
	tombstone := Item{Key: item.Key, ModRevision: revision}
	state.lastEvent = &event{previousEvent: state.lastEvent, revision: revision, deleted: true, item: tombstone, previousItem: &item}
	state.items = withoutKey(state.items, item.Key)
	state.revision = revision
	return state
}

// withCompaction returns the state without the history before revision.
func (state State) withCompaction(revision int64) State {
	state.compacted = max(state.compacted, min(revision, state.revision))
	return state
}

// withLease returns the state with the lease granted or renewed.
func (state State) withLease(id int64, granted lease) State {
	state.leases = maps.Clone(state.leases)
	if state.leases == nil {
		state.leases = map[int64]lease{}
	}
	state.leases[id] = granted
	return state
}

// withoutLease returns the state without the lease and the keys attached to it.
func (state State) withoutLease(id int64) State {
	state.leases = maps.Clone(state.leases)
	delete(state.leases, id)
	revision := state.revision + 1
	for _, item := range slices.Clone(state.items) {
		if item.Lease == id {
			state = state.withDelete(revision, item)
		}
	}
	return state
}

// withoutExpired returns the state without the leases that have expired by now and the keys attached to them.
func (state State) withoutExpired(now time.Time) State {
	for id, granted := range state.leases {
		if !granted.expires.After(now) {
			state = state.withoutLease(id)
		}
	}
	return state
}

// events returns the changes to keys in [key, end) from revision on, oldest first.
func (state State) events(revision int64, key, end string) []event {
	var found []event
	for change := state.lastEvent; change != nil && change.revision >= revision; change = change.previousEvent {
		if inRange(change.item.Key, key, end) {
			found = append(found, *change)
		}
	}
	slices.Reverse(found)
	return found
}

func withItem(items []Item, item Item) []Item {
	index, found := slices.BinarySearchFunc(items, item.Key, compareKey)
	if found {
		next := slices.Clone(items)
		next[index] = item
		return next
	}
	return slices.Insert(slices.Clip(items), index, item)
}

func withoutKey(items []Item, key string) []Item {
	index, found := slices.BinarySearchFunc(items, key, compareKey)
	if !found {
		return items
	}
	return slices.Delete(slices.Clone(items), index, index+1)
}

func compareKey(item Item, key string) int { return strings.Compare(item.Key, key) }

// inRange reports whether candidate is in [key, end). As in the protocol, an empty end means the key alone
// and "\x00" means no upper bound.
func inRange(candidate, key, end string) bool {
	if end == "" {
		return candidate == key
	}
	return candidate >= key && (end == "\x00" || candidate < end)
}
