package kv

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// State is all data of the service at one revision.
type State struct {
	revision  int64
	compacted int64
	items     []Item // sorted by key
	last      *event
	leases    map[int64]lease
}

// Item is one key with its value and its revisions.
type Item struct {
	Key            string
	Value          []byte
	CreateRevision int64
	ModRevision    int64
	Version        int64
	Lease          int64
}

// event is one change, linked to the one before it.
type event struct {
	prior    *event
	revision int64
	deleted  bool
	item     Item
	// previous is the item before the change, nil when the key was absent.
	previous *Item
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Revision returns the number of the latest change.
func (state State) Revision() int64 { return state.revision }

// Items returns the items with keys in [key, end), or the item of key when end is empty.
func (state State) Items(key, end string) []Item {
	from, _ := slices.BinarySearchFunc(state.items, key, compareKey)
	to := from
	for to < len(state.items) && within(state.items[to].Key, key, end) {
		to++
	}
	return slices.Clip(state.items[from:to])
}

// At returns the state as it was at an earlier revision.
func (state State) At(revision int64) State {
	for change := state.last; change != nil && change.revision > revision; change = change.prior {
		if change.previous != nil {
			state.items = withItem(state.items, *change.previous)
			continue
		}
		state.items = withoutKey(state.items, change.item.Key)
	}
	state.revision = min(state.revision, revision)
	return state
}

// withPut returns the state with the value stored at the given revision.
func (state State) withPut(revision int64, key string, value []byte, leaseID int64) State {
	item := Item{Key: key, Value: value, CreateRevision: revision, ModRevision: revision, Version: 1, Lease: leaseID}
	change := &event{prior: state.last, revision: revision}
	if found := state.Items(key, ""); len(found) > 0 {
		item.CreateRevision = found[0].CreateRevision
		item.Version = found[0].Version + 1
		change.previous = &found[0]
	}
	change.item = item
	state.items = withItem(state.items, item)
	state.last = change
	state.revision = revision
	return state
}

// withDelete returns the state without the key at the given revision.
func (state State) withDelete(revision int64, item Item) State {
	gone := Item{Key: item.Key, ModRevision: revision}
	state.last = &event{prior: state.last, revision: revision, deleted: true, item: gone, previous: &item}
	state.items = withoutKey(state.items, item.Key)
	state.revision = revision
	return state
}

// withCompaction returns the state that has forgotten history before revision.
func (state State) withCompaction(revision int64) State {
	state.compacted = max(state.compacted, min(revision, state.revision))
	return state
}

// withLease returns the state in which the lease expires at the given time.
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

// withTime returns the state without the leases that have expired.
func (state State) withTime(now time.Time) State {
	for id, granted := range state.leases {
		if !granted.expires.After(now) {
			state = state.withoutLease(id)
		}
	}
	return state
}

// events returns the changes from revision on that touch [key, end), oldest first.
func (state State) events(revision int64, key, end string) []event {
	var found []event
	for change := state.last; change != nil && change.revision >= revision; change = change.prior {
		if within(change.item.Key, key, end) {
			found = append(found, *change)
		}
	}
	slices.Reverse(found)
	return found
}

func withItem(items []Item, item Item) []Item {
	at, found := slices.BinarySearchFunc(items, item.Key, compareKey)
	if found {
		next := slices.Clone(items)
		next[at] = item
		return next
	}
	return slices.Insert(slices.Clip(items), at, item)
}

func withoutKey(items []Item, key string) []Item {
	at, found := slices.BinarySearchFunc(items, key, compareKey)
	if !found {
		return items
	}
	return slices.Delete(slices.Clone(items), at, at+1)
}

func compareKey(item Item, key string) int { return strings.Compare(item.Key, key) }

// within follows the protocol: an empty end means the key alone, "\x00" means no end.
func within(candidate, key, end string) bool {
	if end == "" {
		return candidate == key
	}
	return candidate >= key && (end == "\x00" || candidate < end)
}
