package neighbour

import (
	"maps"
	"slices"
	"strconv"
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
	self Record
	// reports are the last statements of the entries that report to this one, by name.
	reports map[string]heard[link]
	// reported adds up the live reports, and has this entry among its members. What was admitted
	// between reports stays in it.
	reported Group
	// groups are what relays stated of their groups, by ID.
	groups map[string]heard[Group]
	// rest is what the entry's own relay said last of all others.
	rest heard[[]Group]
	// rolls are the live entries that others named, by the one that named them.
	rolls map[string]heard[Roll]
	// usage is what is known of the usage of other incarnations, by ID.
	usage map[string]heard[usage.Counts]
}

// link is the reports of one incarnation without a long pause.
type link struct {
	// last is the last report, and first the first one.
	last  Record
	first Record
	// silent tells that the entry does not count as live any more.
	silent bool
}

// id tells apart the sums that one entry was told, since a new link begins a new sum.
func (link link) id() string {
	return link.first.ID() + "." + strconv.FormatUint(link.first.Sequence, 36)
}

// heard is a value that was learned at a time of the own boot clock.
type heard[T any] struct {
	value T
	at    time.Duration
}

func (heard heard[T]) within(limit, now time.Duration) bool { return now-heard.at <= limit }

// New returns the state of an entry that knows itself only.
func New(self Record) State {
	return State{self: self, reported: Group{ID: self.ID() + "/reports"}.WithMembers([]Member{self.Member})}
}

// Self returns the entry's own record.
func (state State) Self() Record { return state.self }

// WithSelf returns the state after the entry made a statement, which gets the next sequence number.
func (state State) WithSelf(record Record) State {
	changed := record.Member != state.self.Member
	record.Sequence = state.self.Sequence + 1
	state.self = record
	state.reported.Sequence = record.Sequence
	if changed {
		state.reported = state.reported.WithMembers(state.members())
	}
	return state
}

// WithReport returns the state after an entry reported to this one; an older report changes nothing.
//
// What the entry admitted before its first report is known to an earlier relay, or to nobody.
func (state State) WithReport(record Record, now time.Duration) State {
	state = state.WithTime(now)
	before, known := state.reports[record.Name]
	same := known && before.value.last.Incarnation == record.Incarnation
	if known && (record.Incarnation < before.value.last.Incarnation || same && record.Sequence <= before.value.last.Sequence) {
		return state
	}
	next, counted := link{last: record, first: record}, Record{}
	if same && before.within(silentTime, now) {
		next.first = before.value.first
		state.reported.Admitted = changed(state.reported.Admitted, record.Admitted, before.value.last.Admitted)
	}
	if known && !before.value.silent {
		counted = before.value.last
	}
	state.reported.Running = changed(state.reported.Running, record.Running, counted.Running)
	state.reported.Demand = changed(state.reported.Demand, record.Demand, counted.Demand)
	state.reports = with(state.reports, record.Name, heard[link]{next, now}, silentTime)
	if record.Member != counted.Member {
		state.reported = state.reported.WithMembers(state.members())
	}
	return state
}

// WithTime returns the state without what entries stated that have fallen silent.
func (state State) WithTime(now time.Duration) State {
	silent := false
	for _, report := range state.reports {
		silent = silent || !report.value.silent && !report.within(aliveTime, now)
	}
	if !silent {
		return state
	}
	reports := maps.Clone(state.reports)
	for name, report := range reports {
		if report.value.silent || report.within(aliveTime, now) {
			continue
		}
		state.reported.Running = changed(state.reported.Running, nil, report.value.last.Running)
		state.reported.Demand = changed(state.reported.Demand, nil, report.value.last.Demand)
		report.value.silent = true
		reports[name] = report
	}
	state.reports = reports
	state.reported = state.reported.WithMembers(state.members())
	return state
}

// members returns the entry and those that report to it.
func (state State) members() []Member {
	members := []Member{state.self.Member}
	for _, report := range state.reports {
		if !report.value.silent {
			members = append(members, report.value.last.Member)
		}
	}
	return members
}

// WithGroup returns the state after a relay stated its group; an older statement changes nothing.
func (state State) WithGroup(group Group, now time.Duration) State {
	last, known := state.groups[group.ID]
	if group.madeBy(state.self.ID()) || known && group.Sequence <= last.value.Sequence {
		return state
	}
	state.groups = with(state.groups, group.ID, heard[Group]{state.completed(group), now - group.Age}, silentTime)
	return state
}

// WithRest returns the state after the entry's relay told the groups of all others.
func (state State) WithRest(groups []Group, now time.Duration) State {
	rest := make([]Group, len(groups))
	for i, group := range groups {
		rest[i] = state.completed(group)
	}
	state.rest = heard[[]Group]{rest, now}
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

// Others returns the sums of what all other entries state.
//
// Groups that were not heard of within aliveTime have their admitted totals only.
func (state State) Others(now time.Duration) []Group {
	return append(state.beyond(now), state.reported)
}

// Sums returns what a relay states of itself and of those that report to it, or nothing for other entries.
//
// The numbers of an entry that is no relay are in its own report. It states those of
// entries that report to it all the same.
func (state State) Sums(relay bool) []Group {
	switch {
	case relay:
		return []Group{state.sum("")}
	case len(state.reports) == 0:
		return nil
	}
	// After the last report, the sum goes on for a while without calls. The receiver would
	// otherwise count those of the last sum until that is too old.
	return []Group{state.reported}
}

// Roll returns the live entries that are known from themselves or from relays.
//
// What others named is left out, since entries that have ended would be named by one another for ever.
func (state State) Roll(now time.Duration) Roll {
	return Roll{By: state.self.ID(), Members: newest(state.lists(now)...)}
}

// Heard returns the entries that others named to this one, for its relay.
func (state State) Heard(now time.Duration) []Roll {
	var rolls []Roll
	for _, roll := range state.rolls {
		if roll.within(aliveTime, now) && !roll.value.Told {
			told := roll.value
			told.Told = true
			rolls = append(rolls, told)
		}
	}
	return rolls
}

// WithRolls returns the state after entries were named by others.
func (state State) WithRolls(rolls []Roll, now time.Duration) State {
	for _, roll := range rolls {
		state.rolls = with(state.rolls, roll.By, heard[Roll]{roll, now}, aliveTime)
	}
	return state
}

// RestFor returns what the entry tells one that reports to it: the sums of all others.
//
// The first one has the calls and the demand of all of them, which would otherwise
// be most of the message.
func (state State) RestFor(name string, now time.Duration) []Group {
	reporter := state.reports[name].value.last.ID()
	rest := []Group{state.sum(name)}
	for _, group := range state.beyond(now) {
		if group.madeBy(reporter) {
			continue
		}
		rest[0].Running = changed(rest[0].Running, group.Running, nil)
		rest[0].Demand = changed(rest[0].Demand, group.Demand, nil)
		group.Running, group.Demand = nil, nil
		rest = append(rest, group)
	}
	return rest
}

// Reporters returns the live entries that report to this one.
func (state State) Reporters() []Member {
	return slices.DeleteFunc(slices.Clone(state.reported.Members), func(member Member) bool { return member.Name == state.self.Name })
}

// Rosters returns which members of which groups the entry knows.
func (state State) Rosters() []Roster {
	var rosters []Roster
	for _, group := range state.rest.value {
		rosters = append(rosters, Roster{group.ID, group.Roster})
	}
	return rosters
}

// RosterOf returns the digest of the members that the entry knows of a group, 0 for none.
func (state State) RosterOf(id string) uint64 { return state.groups[id].value.Roster }

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
	for _, group := range state.beyond(now) {
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

// sum adds up the own record and the reports, but for one entry.
func (state State) sum(except string) Group {
	self, sum := state.self, state.reported
	link := state.reports[except].value
	sum.ID = self.ID()
	if except != "" {
		sum.ID += "/" + link.id()
	}
	counted := link.last
	if link.silent {
		counted = Record{}
	}
	sum.Admitted = changed(changed(sum.Admitted, self.Admitted, link.last.Admitted), link.first.Admitted, nil)
	sum.Running = changed(sum.Running, self.Running, counted.Running)
	sum.Demand = changed(sum.Demand, self.Demand, counted.Demand)
	return sum
}

// beyond returns the groups that others told, those that were not heard of lately faded.
func (state State) beyond(now time.Duration) []Group {
	latest := maps.Clone(state.groups)
	if latest == nil {
		latest = map[string]heard[Group]{}
	}
	for _, group := range state.rest.value {
		at := state.rest.at - group.Age
		if last, known := latest[group.ID]; !known || at > last.at {
			latest[group.ID] = heard[Group]{group, at}
		}
	}
	var groups []Group
	for _, group := range latest {
		group.value.Age = now - group.at
		switch {
		case group.value.madeBy(state.self.ID()), !group.within(silentTime, now):
		case group.within(aliveTime, now):
			groups = append(groups, group.value)
		default:
			groups = append(groups, group.value.faded())
		}
	}
	return groups
}

// completed returns the group with the members that its sender left out.
func (state State) completed(group Group) Group {
	if group.Members != nil {
		return group
	}
	if last := state.groups[group.ID].value; last.Roster == group.Roster {
		group.Members = last.Members
	}
	for _, last := range state.rest.value {
		if last.ID == group.ID && last.Roster == group.Roster {
			group.Members = last.Members
		}
	}
	if group.Members == nil {
		group.Roster = 0 // The members are still to be learned.
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
