package neighbour

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// aliveTime is how long an entry counts as alive after its last statement.
	aliveTime = 2 * time.Second
	// keptTime is how long the record of a silent incarnation is kept for its usage.
	keptTime = time.Minute
)

// State is the records of all incarnations, the own one included.
type State struct {
	self    string
	records map[string]known
}

type known struct {
	record Record
	// at is when a higher sequence number was last learned, by the own boot clock.
	at time.Duration
}

// Version is up to which statement an entry knows an incarnation.
type Version struct {
	ID       string
	Sequence uint64
}

// New returns the state of an entry that knows itself only.
func New(self Record, now time.Duration) State {
	return State{self: self.ID(), records: map[string]known{self.ID(): {self, now}}}
}

// Self returns the entry's own record.
func (state State) Self() Record { return state.records[state.self].record }

// WithSelf returns the state after the entry made a statement, which gets the next sequence number.
func (state State) WithSelf(record Record, now time.Duration) State {
	record.Sequence = state.Self().Sequence + 1
	return state.WithRecords([]Record{record}, now)
}

// WithRecords returns the state joined with records; older statements change nothing.
func (state State) WithRecords(records []Record, now time.Duration) State {
	next := maps.Clone(state.records)
	for _, record := range records {
		id := record.ID()
		if id == state.self && record.Sequence <= next[id].record.Sequence {
			continue
		}
		if last, ok := next[id]; !ok || record.Sequence > last.record.Sequence {
			next[id] = known{record, now}
		}
	}
	maps.DeleteFunc(next, func(id string, known known) bool { return id != state.self && now-known.at > keptTime })
	state.records = next
	return state
}

// Versions returns what the entry knows, to be told to a peer.
func (state State) Versions() []Version {
	versions := make([]Version, 0, len(state.records))
	for id, known := range state.records {
		versions = append(versions, Version{ID: id, Sequence: known.record.Sequence})
	}
	return versions
}

// Since returns the records that are newer than what a peer knows.
func (state State) Since(versions []Version) []Record {
	told := make(map[string]uint64, len(versions))
	for _, version := range versions {
		told[version.ID] = version.Sequence
	}
	var newer []Record
	for id, known := range state.records {
		if known.record.Sequence > told[id] {
			newer = append(newer, known.record)
		}
	}
	return newer
}

// All returns all records, those of ended incarnations included.
func (state State) All() []Record {
	records := make([]Record, 0, len(state.records))
	for _, known := range state.records {
		records = append(records, known.record)
	}
	return records
}

// Alive returns the newest incarnations of the entries heard of within aliveTime, the own one included, by name.
func (state State) Alive(now time.Duration) []Record { return state.Within(now, aliveTime) }

// Within returns the newest incarnations that were heard of within a time, the own one included, by name.
func (state State) Within(now, limit time.Duration) []Record {
	newest := map[string]known{}
	for id, known := range state.records {
		if id != state.self && now-known.at > limit {
			continue
		}
		if last, ok := newest[known.record.Name]; !ok || known.record.Incarnation > last.record.Incarnation {
			newest[known.record.Name] = known
		}
	}
	alive := make([]Record, 0, len(newest))
	for _, known := range newest {
		alive = append(alive, known.record)
	}
	slices.SortFunc(alive, func(one, other Record) int { return cmp.Compare(one.Name, other.Name) })
	return alive
}

// Rank returns the place of the entry among those alive for a piece of work, 0 for the first.
//
// Entries that stop come after all others.
func (state State) Rank(work string, now time.Duration) int {
	self := state.Self()
	rank := 0
	for _, record := range state.Alive(now) {
		if record.Name != self.Name && Before(work, record, self) {
			rank++
		}
	}
	return rank
}

// Before reports whether one entry goes before another for a piece of work.
func Before(work string, one, other Record) bool {
	if one.Stopping != other.Stopping {
		return other.Stopping
	}
	a, b := xxhash.Sum64String(work+one.Name), xxhash.Sum64String(work+other.Name)
	return a > b || a == b && one.Name < other.Name
}
