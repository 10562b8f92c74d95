package membership

import (
	"maps"
	"slices"
	"time"
)

// Table holds versioned items by origin. It is immutable, and the zero value is empty.
//
// A change copies the map of pointers (about 10 KB with 420 origins) and the
// records of the origins that it modifies.
type Table struct {
	records map[ID]*originRecord
}

// originRecord holds the items and versions of one origin.
type originRecord struct {
	origin Origin
	// complete is the version up to which this entry has received all items.
	complete uint64
	// highestVersion is the highest version received; items sent ahead may put it above complete.
	highestVersion uint64
	// items are in rising order of version.
	items []Item
	// withdrawnAt is when the last item of a gone origin was removed; from then on the
	// origin is left out of digests and deltas. It is zero for any other origin.
	withdrawnAt time.Time
}

// OriginVersion is the version up to which an entry holds all items of the origin with the ID.
type OriginVersion struct {
	ID      ID
	Version uint64
}

// Delta is the part of one origin's items that a receiver lacks.
type Delta struct {
	ID ID
	// Origin is the origin with the ID, zero if the receiver already has a record of that origin.
	Origin Origin
	// After and Complete bound the items: all with After < version <= Complete
	// are in the delta. Both are 0 for an item sent ahead, which implies nothing about other items.
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

// WithPublished returns the table with items that the origin itself publishes; they get the origin's next
// versions in order.
func (table Table) WithPublished(origin Origin, items ...Item) Table {
	id := origin.ID()
	next := originRecord{origin: origin}
	if existing, ok := table.records[id]; ok {
		next = *existing
	}
	for _, item := range items {
		next.highestVersion++
		next.complete = next.highestVersion
		item.Version = next.highestVersion
		next.items, _ = withItem(next.items, item)
	}
	return table.withRecords(map[ID]*originRecord{id: &next})
}

// WithDeltas returns the table merged with deltas, and for each delta that changed it, a delta with the new
// items.
//
// Complete of a returned delta is the highest version received of the origin.
func (table Table) WithDeltas(deltas []Delta, now time.Time) (Table, []Delta) {
	changed := map[ID]*originRecord{}
	var changes []Delta
	for _, delta := range deltas {
		current, ok := table.records[delta.ID]
		if modified, found := changed[delta.ID]; found {
			current, ok = modified, true
		}
		if !ok {
			if delta.Origin.Name == "" {
				continue // The origin's name is missing; a later exchange of digests delivers the origin in full.
			}
			current = &originRecord{origin: delta.Origin}
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

// WithoutExpired returns the table without expired items, and without the records of gone origins whose last
// item was removed more than 24 hours ago.
func (table Table) WithoutExpired(now time.Time) Table {
	changed := map[ID]*originRecord{}
	for id, record := range table.records {
		if !record.offered() && now.Sub(record.withdrawnAt) > goneRetention {
			table = table.withoutOrigin(id)
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
	return table.withRecords(map[ID]*originRecord{id: next})
}

func (table Table) withoutOrigin(id ID) Table {
	next := maps.Clone(table.records)
	delete(next, id)
	return Table{records: next}
}

func (table Table) withRecords(changed map[ID]*originRecord) Table {
	if len(changed) == 0 {
		return table
	}
	next := maps.Clone(table.records)
	if next == nil {
		next = map[ID]*originRecord{}
	}
	maps.Copy(next, changed)
	return Table{records: next}
}

// withDelta returns the merged record and its new items, or the same pointer if the delta changes nothing.
//
// A delta with a higher version shows that a withdrawn origin is alive after all: the record is offered
// again, and complete restarts at 0, since its items were removed.
func (originRecord *originRecord) withDelta(delta Delta, now time.Time) (*originRecord, []Item) {
	next := *originRecord
	if !originRecord.offered() {
		if highestVersion(delta) <= originRecord.highestVersion {
			return originRecord, nil
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
	if len(newItems) == 0 && next.complete == originRecord.complete && next.highestVersion == originRecord.highestVersion {
		return originRecord, nil
	}
	return &next, newItems
}

// offered reports whether the record is included in digests and deltas.
func (originRecord *originRecord) offered() bool { return originRecord.withdrawnAt.IsZero() }

func (originRecord *originRecord) withoutItems(drop func(Item) bool) *originRecord {
	next := *originRecord
	next.items = slices.DeleteFunc(slices.Clone(originRecord.items), drop)
	return &next
}

// withItem returns the items with one added or replaced, or unchanged and false if they hold an item of its
// kind and key at this version or a later one.
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
	index, _ := slices.BinarySearchFunc(next, item.Version, func(existing Item, version uint64) int {
		if existing.Version < version {
			return -1
		}
		return 1
	})
	return slices.Insert(next, index, item), true
}

// highestVersion returns the highest version that a delta refers to.
func highestVersion(delta Delta) uint64 {
	version := delta.Complete
	for _, item := range delta.Items {
		version = max(version, item.Version)
	}
	return version
}
