package cluster

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/usage"
)

const (
	// aliveTime is how long an entry counts as alive after its last statement.
	aliveTime = 2 * time.Second
	// silentTime is how long a silent group is expected to go on admitting calls. It is
	// longer than the time for which entries that are cut off may run them.
	silentTime = 6 * time.Second
	// keptTime is how long the usage of a silent incarnation is kept.
	keptTime = time.Minute
)

// State is what an entry knows of itself and of the others.
type State struct {
	self EntryState
	// reports are the last statements of the entries that report to this one, by name.
	reports map[string]heard[link]
	// reported adds up the live reports, and has this entry among its members. What was admitted
	// between reports stays in it.
	reported Aggregate
	// groups are what relays stated of their groups, by ID.
	groups map[string]heard[Aggregate]
	// rest is what the entry's own relay said last of all others.
	rest heard[[]Aggregate]
	// rolls are the live entries that others named, by the one that named them.
	rolls map[string]heard[MemberList]
	// usage is what is known of the usage of other incarnations, by ID.
	usage map[string]heard[usage.Counts]
}

// heard is a value that was learned at a time of the own boot clock.
type heard[T any] struct {
	value T
	at    time.Duration
}

func (heard heard[T]) within(limit, now time.Duration) bool { return now-heard.at <= limit }

// New returns the state of an entry that knows itself only.
func New(self EntryState) State {
	return State{self: self, reported: Aggregate{ID: self.ID() + "/reports"}.WithMembers([]Member{self.Member})}
}

// Self returns the entry's own record.
func (state State) Self() EntryState { return state.self }

// WithSelf returns the state after the entry made a statement, which gets the next sequence number.
func (state State) WithSelf(record EntryState) State {
	changed := record.Member != state.self.Member
	record.Sequence = state.self.Sequence + 1
	state.self = record
	state.reported.Sequence = record.Sequence
	if changed {
		state.reported = state.reported.WithMembers(state.members())
	}
	return state
}

// WithAggregate returns the state after a relay stated its group; an older statement changes nothing.
func (state State) WithAggregate(group Aggregate, now time.Duration) State {
	last, known := state.groups[group.ID]
	if group.madeBy(state.self.ID()) || known && group.Sequence <= last.value.Sequence {
		return state
	}
	state.groups = with(state.groups, group.ID, heard[Aggregate]{state.completed(group), now - group.Age}, silentTime)
	return state
}

// WithAggregatorReply returns the state after the entry's relay told the groups of all others.
func (state State) WithAggregatorReply(groups []Aggregate, now time.Duration) State {
	rest := make([]Aggregate, len(groups))
	for i, group := range groups {
		rest[i] = state.completed(group)
	}
	state.rest = heard[[]Aggregate]{rest, now}
	return state
}

// WithUsage returns the state after others' usage was learned.
func (state State) WithUsage(records []Usage, now time.Duration) State {
	for _, record := range records {
		if record.ID == state.self.ID() {
			continue
		}
		counts := record.Counts.Merge(state.usage[record.ID].value)
		state.usage = with(state.usage, record.ID, heard[usage.Counts]{counts, now}, keptTime)
	}
	return state
}

// Usage returns what is known of the usage of other incarnations, ended ones included.
func (state State) Usage() []Usage {
	records := make([]Usage, 0, len(state.usage))
	for id, counts := range state.usage {
		records = append(records, Usage{ID: id, Counts: counts.value})
	}
	return records
}

// OtherAggregates returns the sums of what all other entries state.
//
// Groups that were not heard of within aliveTime have their admitted totals only.
func (state State) OtherAggregates(now time.Duration) []Aggregate {
	if len(state.reports) == 0 && len(state.reported.Admitted) == 0 {
		return state.otherGroups(now)
	}
	return append(state.otherGroups(now), state.reported)
}

// MemberDigests returns which members of which groups the entry knows.
func (state State) MemberDigests() []MemberDigest {
	var rosters []MemberDigest
	for _, group := range state.rest.value {
		rosters = append(rosters, MemberDigest{group.ID, group.MemberDigest})
	}
	return rosters
}

// MemberDigestOf returns the digest of the members that the entry knows of a group, 0 for none.
func (state State) MemberDigestOf(id string) uint64 { return state.groups[id].value.MemberDigest }

// alive returns the newest incarnations of the live entries, the own one included, by name.
func (state State) alive(now time.Duration) []Member {
	lists := state.lists(now)
	for _, roll := range state.rolls {
		if roll.within(aliveTime, now) {
			lists = append(lists, roll.value.Members)
		}
	}
	return newest(lists...)
}

// lists returns the live entries that are known from themselves or from relays.
func (state State) lists(now time.Duration) [][]Member {
	lists := [][]Member{state.reported.Members}
	for _, group := range state.otherGroups(now) {
		lists = append(lists, group.Members)
	}
	return lists
}

// newest joins lists of members, of which the newest incarnation counts.
func newest(lists ...[]Member) []Member {
	byName := map[string]Member{}
	for _, members := range lists {
		for _, member := range members {
			if last, ok := byName[member.Name]; !ok || member.Incarnation > last.Incarnation {
				byName[member.Name] = member
			}
		}
	}
	return slices.SortedFunc(maps.Values(byName), func(one, other Member) int { return strings.Compare(one.Name, other.Name) })
}

// otherGroups returns the groups that others told; those that were not heard of lately have their admitted totals only.
func (state State) otherGroups(now time.Duration) []Aggregate {
	latest := maps.Clone(state.groups)
	if latest == nil {
		latest = map[string]heard[Aggregate]{}
	}
	for _, group := range state.rest.value {
		at := state.rest.at - group.Age
		if last, known := latest[group.ID]; !known || at > last.at {
			latest[group.ID] = heard[Aggregate]{group, at}
		}
	}
	var groups []Aggregate
	for _, group := range latest {
		group.value.Age = now - group.at
		switch {
		case group.value.madeBy(state.self.ID()), !group.within(silentTime, now):
		case group.within(aliveTime, now):
			groups = append(groups, group.value)
		default:
			groups = append(groups, group.value.admittedOnly())
		}
	}
	return groups
}

// completed returns the group with the members that its sender left out.
func (state State) completed(group Aggregate) Aggregate {
	if group.Members != nil {
		return group
	}
	if last := state.groups[group.ID].value; last.MemberDigest == group.MemberDigest {
		group.Members = last.Members
	}
	for _, last := range state.rest.value {
		if last.ID == group.ID && last.MemberDigest == group.MemberDigest {
			group.Members = last.Members
		}
	}
	if group.Members == nil {
		group.MemberDigest = 0 // The members are still to be learned.
	}
	return group
}

// with returns a copy of the map with one more value, and without those that were not renewed for a time.
func with[T any](values map[string]heard[T], key string, value heard[T], life time.Duration) map[string]heard[T] {
	next := make(map[string]heard[T], len(values)+1)
	for known, last := range values {
		if last.within(life, value.at) {
			next[known] = last
		}
	}
	next[key] = value
	return next
}
