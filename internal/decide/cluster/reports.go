package cluster

import (
	"maps"
	"slices"
	"strconv"
	"time"
)

// link is the reports of one incarnation without a long pause.
type link struct {
	// last is the last report, and first the first one.
	last  EntryState
	first EntryState
	// silent tells that the entry does not count as live any more.
	silent bool
}

// id tells apart the sums that one entry was told, since a new link begins a new sum.
func (link link) id() string {
	return link.first.ID() + "." + strconv.FormatUint(link.first.Sequence, 36)
}

// WithHeartbeat returns the state after an entry reported to this one; an older report changes nothing.
//
// What the entry admitted before its first report is known to an earlier relay, or to nobody.
func (state State) WithHeartbeat(record EntryState, now time.Duration) State {
	state = state.WithTime(now)
	before, known := state.reports[record.Name]
	same := known && before.value.last.Incarnation == record.Incarnation
	if known && (record.Incarnation < before.value.last.Incarnation || same && record.Sequence <= before.value.last.Sequence) {
		return state
	}
	next, counted := link{last: record, first: record}, EntryState{}
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

// Aggregates returns what a relay states of itself and of those that report to it, or nothing for other entries.
//
// The numbers of an entry that is no relay are in its own report. It states those of
// entries that report to it all the same.
func (state State) Aggregates(relay bool) []Aggregate {
	switch {
	case relay:
		return []Aggregate{state.sum("")}
	case len(state.reports) == 0:
		return nil
	}
	// After the last report, the sum goes on for a while without calls. The receiver would
	// otherwise count those of the last sum until that is too old.
	return []Aggregate{state.reported}
}

// AggregatesFor returns what the entry tells one that reports to it: the sums of all others.
//
// The first one has the calls and the demand of all of them, which would otherwise
// be most of the message.
func (state State) AggregatesFor(name string, now time.Duration) []Aggregate {
	reporter := state.reports[name].value.last.ID()
	rest := []Aggregate{state.sum(name)}
	for _, group := range state.otherGroups(now) {
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

// sum adds up the own record and the reports, but for one entry.
func (state State) sum(except string) Aggregate {
	self, sum := state.self, state.reported
	link := state.reports[except].value
	sum.ID = self.ID()
	if except != "" {
		sum.ID += "/" + link.id()
	}
	counted := link.last
	if link.silent {
		counted = EntryState{}
	}
	sum.Admitted = changed(changed(sum.Admitted, self.Admitted, link.last.Admitted), link.first.Admitted, nil)
	sum.Running = changed(sum.Running, self.Running, counted.Running)
	sum.Demand = changed(sum.Demand, self.Demand, counted.Demand)
	return sum
}
