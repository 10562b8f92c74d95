package membership

import (
	"maps"
	"slices"
	"time"
)

// Table holds versioned items by origin.
//
// A change copies the map of pointers (about 10 KB at 420 origins) and the
// records of the origins it touches.
type Table struct {
	records map[ID]*record
}

// record is what a table holds of one origin.
type record struct {
	origin Origin
	// complete is the version up to which no item is missing.
	complete uint64
	// newest is the highest version seen, which may run ahead of complete by rumours.
	newest uint64
	// items are in rising order of version.
	items []Item
	// forgotten is when a gone origin had no items left, which is no longer
	// offered from then on, and zero for any other origin.
	forgotten time.Time
}

// Version tells up to which number an entry has everything of an origin.
type Version struct {
	ID      ID
	Version uint64
}

// Delta is what one side lacks of one origin.
type Delta struct {
	ID ID
	// Origin is zero when the receiver is known to know it.
	Origin Origin
	// After and Complete bound the items: all with After < version <= Complete
	// are in the delta. A rumour has 0 for both and promises no completeness.
	After    uint64
	Complete uint64
	Items    []Item
}

// Items returns the unexpired items of a kind at all origins, in no particular order.
func (table Table) Items(kind Kind, now time.Time) []Item {
	var items []Item
	for _, record := range table.records {
		for _, item := range record.items {
			if item.Kind == kind && !item.Expired(now) {
				items = append(items, item)
			}
		}
	}
	return items
}

// ItemsOf returns the unexpired items that one origin stated.
func (table Table) ItemsOf(id ID, now time.Time) []Item {
	record, ok := table.records[id]
	if !ok {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(record.items), func(item Item) bool { return item.Expired(now) })
}

// HighestVersion returns the highest version seen of an origin.
func (table Table) HighestVersion(id ID) uint64 {
	if record, ok := table.records[id]; ok {
		return record.newest
	}
	return 0
}

// WithPut returns the table with items stated by the origin itself, numbered in order.
func (table Table) WithPut(origin Origin, items ...Item) Table {
	id := origin.ID()
	next := record{origin: origin}
	if known, ok := table.records[id]; ok {
		next = *known
	}
	for _, item := range items {
		next.newest++
		next.complete = next.newest
		item.Version = next.newest
		next.items, _ = withItem(next.items, item)
	}
	return table.withRecords(map[ID]*record{id: &next})
}

// WithDeltas returns the table joined with deltas, and the items that were new to it.
func (table Table) WithDeltas(deltas []Delta, now time.Time) (Table, []Delta) {
	changed := map[ID]*record{}
	var news []Delta
	for _, delta := range deltas {
		known, ok := table.records[delta.ID]
		if later, found := changed[delta.ID]; found {
			known, ok = later, true
		}
		if !ok {
			if delta.Origin.Name == "" {
				continue // An exchange that lists this origin's version brings it in full.
			}
			known = &record{origin: delta.Origin}
		}
		next, fresh := known.withDelta(delta, now)
		if next == known {
			continue
		}
		changed[delta.ID] = next
		news = append(news, Delta{ID: delta.ID, Origin: next.origin, Complete: next.newest, Items: fresh})
	}
	return table.withRecords(changed), news
}

// WithoutExpired returns the table without items that ceased to hold, and without origins forgotten for 24 hours.
func (table Table) WithoutExpired(now time.Time) Table {
	changed := map[ID]*record{}
	for id, record := range table.records {
		if !record.offered() && now.Sub(record.forgotten) > retention {
			table = table.without(id)
			continue
		}
		if slices.ContainsFunc(record.items, func(item Item) bool { return item.Expired(now) }) {
			changed[id] = record.withoutItems(func(item Item) bool { return item.Expired(now) })
		}
	}
	return table.withRecords(changed)
}

// WithOriginGone returns the table without the lasting items of an origin that is gone.
//
// Items that expire stay until then: a suspected request outlives the entry
// that reported it. Once none is left the origin is no longer offered, but its
// version is kept, so that an entry that still holds it cannot bring it back.
func (table Table) WithOriginGone(id ID, now time.Time) Table {
	known, ok := table.records[id]
	if !ok || !known.offered() {
		return table
	}
	next := known.withoutItems(func(item Item) bool { return item.Expires == 0 })
	if len(next.items) == 0 {
		next.forgotten = now
	}
	if next.offered() && len(next.items) == len(known.items) {
		return table
	}
	return table.withRecords(map[ID]*record{id: next})
}

func (table Table) without(id ID) Table {
	next := maps.Clone(table.records)
	delete(next, id)
	return Table{records: next}
}

func (table Table) withRecords(changed map[ID]*record) Table {
	if len(changed) == 0 {
		return table
	}
	next := maps.Clone(table.records)
	if next == nil {
		next = map[ID]*record{}
	}
	maps.Copy(next, changed)
	return Table{records: next}
}

// withDelta returns the very same record when the delta brings nothing.
func (known *record) withDelta(delta Delta, now time.Time) (*record, []Item) {
	next := *known
	if !known.offered() {
		if highest(delta) <= known.newest {
			return known, nil
		}
		next.forgotten = time.Time{}
		next.complete = 0
	}
	if delta.After <= next.complete {
		next.complete = max(next.complete, delta.Complete)
	}
	next.newest = max(next.newest, highest(delta))
	var fresh []Item
	for _, item := range delta.Items {
		if item.Expired(now) {
			continue
		}
		items, added := withItem(next.items, item)
		if added {
			next.items = items
			fresh = append(fresh, item)
		}
	}
	if len(fresh) == 0 && next.complete == known.complete && next.newest == known.newest {
		return known, nil
	}
	return &next, fresh
}

func (known *record) offered() bool { return known.forgotten.IsZero() }

func (known *record) withoutItems(drop func(Item) bool) *record {
	next := *known
	next.items = slices.DeleteFunc(slices.Clone(known.items), drop)
	return &next
}

// withItem returns the items with one more, unless a newer statement with its key is there.
func withItem(items []Item, item Item) ([]Item, bool) {
	next := make([]Item, 0, len(items)+1)
	for _, known := range items {
		if !known.same(item) {
			next = append(next, known)
			continue
		}
		if known.Version >= item.Version {
			return items, false
		}
	}
	at, _ := slices.BinarySearchFunc(next, item.Version, func(known Item, version uint64) int {
		if known.Version < version {
			return -1
		}
		return 1
	})
	return slices.Insert(next, at, item), true
}

func highest(delta Delta) uint64 {
	version := delta.Complete
	for _, item := range delta.Items {
		version = max(version, item.Version)
	}
	return version
}
