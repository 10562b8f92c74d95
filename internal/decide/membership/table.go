package membership

import (
	"maps"
	"slices"
	"time"
)

// Table holds versioned items by origin.
//
// A change copies the map of pointers (about 10 KB with 420 origins) and the
// records of the origins that it modifies.
type Table struct {
	records map[ID]*record
}

// record holds the items and versions of one origin.
type record struct {
	origin Origin
	// complete is the version up to which all items have been received.
	complete uint64
	// highestVersion is the highest version received; items sent ahead may put it above complete.
	highestVersion uint64
	// items are in rising order of version.
	items []Item
	// withdrawnAt is when the last item of a gone origin was removed; from then on the
	// origin is left out of digests and deltas. It is zero for any other origin.
	withdrawnAt time.Time
}

// OriginVersion is the version up to which an entry holds all items of an origin.
type OriginVersion struct {
	ID      ID
	Version uint64
}

// Delta is the part of one origin's items that a receiver lacks.
type Delta struct {
	ID ID
	// Origin is zero if the receiver already has a record of it.
	Origin Origin
	// After and Complete bound the items: all with After < version <= Complete
	// are in the delta. Both are 0 for an item sent ahead, which implies nothing about others.
	After    uint64
	Complete uint64
	Items    []Item
}

// Items returns the unexpired items of a kind from all origins, in no particular order.
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

// ItemsOf returns the unexpired items that one origin published.
func (table Table) ItemsOf(id ID, now time.Time) []Item {
	record, ok := table.records[id]
	if !ok {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(record.items), func(item Item) bool { return item.Expired(now) })
}

// HighestVersion returns the highest version received of an origin, 0 for an unknown one.
func (table Table) HighestVersion(id ID) uint64 {
	if record, ok := table.records[id]; ok {
		return record.highestVersion
	}
	return 0
}

// WithPublished returns the table with items published by the origin itself, which get the next versions in order.
func (table Table) WithPublished(origin Origin, items ...Item) Table {
	id := origin.ID()
	next := record{origin: origin}
	if existing, ok := table.records[id]; ok {
		next = *existing
	}
	for _, item := range items {
		next.highestVersion++
		next.complete = next.highestVersion
		item.Version = next.highestVersion
		next.items, _ = withItem(next.items, item)
	}
	return table.withRecords(map[ID]*record{id: &next})
}

// WithDeltas returns the table merged with deltas, and the items that were new to it.
func (table Table) WithDeltas(deltas []Delta, now time.Time) (Table, []Delta) {
	changed := map[ID]*record{}
	var changes []Delta
	for _, delta := range deltas {
		current, ok := table.records[delta.ID]
		if modified, found := changed[delta.ID]; found {
			current, ok = modified, true
		}
		if !ok {
			if delta.Origin.Name == "" {
				continue // A later exchange of digests delivers this origin in full.
			}
			current = &record{origin: delta.Origin}
		}
		next, added := current.withDelta(delta, now)
		if next == current {
			continue
		}
		changed[delta.ID] = next
		changes = append(changes, Delta{ID: delta.ID, Origin: next.origin, Complete: next.highestVersion, Items: added})
	}
	return table.withRecords(changed), changes
}

// WithoutExpired returns the table without expired items, and without origins that were withdrawn for 24 hours.
func (table Table) WithoutExpired(now time.Time) Table {
	changed := map[ID]*record{}
	for id, record := range table.records {
		if !record.offered() && now.Sub(record.withdrawnAt) > retention {
			table = table.without(id)
			continue
		}
		if slices.ContainsFunc(record.items, func(item Item) bool { return item.Expired(now) }) {
			changed[id] = record.withoutItems(func(item Item) bool { return item.Expired(now) })
		}
	}
	return table.withRecords(changed)
}

// WithOriginGone returns the table without the items of a gone origin that have no expiry time.
//
// Items with an expiry time stay until then: a suspected request outlives the entry
// that reported it. Once no item is left, the origin is no longer offered, but its
// version is kept, so that a peer that still has the items cannot reintroduce it.
func (table Table) WithOriginGone(id ID, now time.Time) Table {
	current, ok := table.records[id]
	if !ok || !current.offered() {
		return table
	}
	next := current.withoutItems(func(item Item) bool { return item.Expires == 0 })
	if len(next.items) == 0 {
		next.withdrawnAt = now
	}
	if next.offered() && len(next.items) == len(current.items) {
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

// withDelta returns the merged record and its new items, or the same pointer if the delta changes nothing.
func (record *record) withDelta(delta Delta, now time.Time) (*record, []Item) {
	next := *record
	if !record.offered() {
		if highestVersion(delta) <= record.highestVersion {
			return record, nil
		}
		next.withdrawnAt = time.Time{}
		next.complete = 0
	}
	if delta.After <= next.complete {
		next.complete = max(next.complete, delta.Complete)
	}
	next.highestVersion = max(next.highestVersion, highestVersion(delta))
	var newItems []Item
	for _, item := range delta.Items {
		if item.Expired(now) {
			continue
		}
		items, added := withItem(next.items, item)
		if added {
			next.items = items
			newItems = append(newItems, item)
		}
	}
	if len(newItems) == 0 && next.complete == record.complete && next.highestVersion == record.highestVersion {
		return record, nil
	}
	return &next, newItems
}

// offered reports whether the record is included in digests and deltas.
func (record *record) offered() bool { return record.withdrawnAt.IsZero() }

func (record *record) withoutItems(drop func(Item) bool) *record {
	next := *record
	next.items = slices.DeleteFunc(slices.Clone(record.items), drop)
	return &next
}

// withItem returns the items with one added or replaced, and false if they hold its key at this version or a newer one.
func withItem(items []Item, item Item) ([]Item, bool) {
	next := make([]Item, 0, len(items)+1)
	for _, existing := range items {
		if !existing.sameKey(item) {
			next = append(next, existing)
			continue
		}
		if existing.Version >= item.Version {
			return items, false
		}
	}
	at, _ := slices.BinarySearchFunc(next, item.Version, func(existing Item, version uint64) int {
		if existing.Version < version {
			return -1
		}
		return 1
	})
	return slices.Insert(next, at, item), true
}

func highestVersion(delta Delta) uint64 {
	version := delta.Complete
	for _, item := range delta.Items {
		version = max(version, item.Version)
	}
	return version
}
