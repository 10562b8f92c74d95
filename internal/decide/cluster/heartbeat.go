package cluster

import (
	"maps"
	"slices"
	"strconv"
	"time"
)

// session is a series of heartbeats of one incarnation without a gap longer than admittedTTL.
type session struct {
	// last is the latest heartbeat, and first the first one.
	last  EntryState
	first EntryState
	// expired reports whether the entry no longer counts as alive.
	expired bool
}

// id distinguishes the aggregates sent to one entry, since each session has an aggregate of its own.
func (session session) id() string {
	return session.first.ID() + "." + strconv.FormatUint(session.first.Sequence, 36)
}

// WithHeartbeat returns the state after a heartbeat of another entry; an outdated one changes nothing.
//
// What the entry admitted before its first heartbeat is not added, since it is counted by an earlier
// aggregator, or by none.
func (state State) WithHeartbeat(heartbeat EntryState, now time.Duration) State {
	state = state.WithoutExpired(now)
	previous, exists := state.sessions[heartbeat.Name]
	sameIncarnation := exists && previous.value.last.Incarnation == heartbeat.Incarnation
	if exists && (heartbeat.Incarnation < previous.value.last.Incarnation || sameIncarnation && heartbeat.Sequence <= previous.value.last.Sequence) {
		return state
	}
	next, counted := session{last: heartbeat, first: heartbeat}, EntryState{}
	if sameIncarnation && previous.within(admittedTTL, now) {
		next.first = previous.value.first
		state.sessionSum.Admitted = adjusted(state.sessionSum.Admitted, heartbeat.Admitted, previous.value.last.Admitted)
	}
	if exists && !previous.value.expired {
		counted = previous.value.last
	}
	state.sessionSum.Running = adjusted(state.sessionSum.Running, heartbeat.Running, counted.Running)
	state.sessionSum.Demand = adjusted(state.sessionSum.Demand, heartbeat.Demand, counted.Demand)
	state.sessions = withValue(state.sessions, heartbeat.Name, received[session]{next, now}, admittedTTL)
	if heartbeat.Member != counted.Member {
		state.sessionSum = state.sessionSum.WithMembers(state.members())
	}
	return state
}

// WithoutExpired returns the state without the members, running calls and demand of sessions that expired.
func (state State) WithoutExpired(now time.Duration) State {
	anyExpired := false
	for _, entry := range state.sessions {
		anyExpired = anyExpired || !entry.value.expired && !entry.within(livenessTimeout, now)
	}
	if !anyExpired {
		return state
	}
	sessions := maps.Clone(state.sessions)
	for name, entry := range sessions {
		if entry.value.expired || entry.within(livenessTimeout, now) {
			continue
		}
		state.sessionSum.Running = adjusted(state.sessionSum.Running, nil, entry.value.last.Running)
		state.sessionSum.Demand = adjusted(state.sessionSum.Demand, nil, entry.value.last.Demand)
		entry.value.expired = true
		sessions[name] = entry
	}
	state.sessions = sessions
	state.sessionSum = state.sessionSum.WithMembers(state.members())
	return state
}

// members returns this entry and those that report to it.
func (state State) members() []Member {
	members := []Member{state.self.Member}
	for _, entry := range state.sessions {
		if !entry.value.expired {
			members = append(members, entry.value.last.Member)
		}
	}
	return members
}

// Aggregates returns the aggregate that this entry sends to others, or none if it has nothing to aggregate.
//
// The aggregate of an aggregator includes its own state. An entry that is not an aggregator reports its
// own state in its heartbeat, and sends only the aggregate of entries that report to it nevertheless.
func (state State) Aggregates(isAggregator bool) []Aggregate {
	switch {
	case isAggregator:
		return []Aggregate{state.sum("")}
	case len(state.sessions) == 0:
		return nil
	}
	// The aggregate is sent for a while after the last heartbeat expired, without running calls. The
	// receiver would otherwise count the calls of the last aggregate until that expires.
	return []Aggregate{state.sessionSum}
}

// AggregatesFor returns the aggregates that this entry sends to one that reports to it: those of all others.
//
// The running calls and the demand of all of them are added up in the first aggregate, since they
// would otherwise be most of the message.
func (state State) AggregatesFor(name string, now time.Duration) []Aggregate {
	receiverID := state.sessions[name].value.last.ID()
	aggregates := []Aggregate{state.sum(name)}
	for _, aggregate := range state.receivedAggregates(now) {
		if aggregate.madeBy(receiverID) {
			continue
		}
		aggregates[0].Running = adjusted(aggregates[0].Running, aggregate.Running, nil)
		aggregates[0].Demand = adjusted(aggregates[0].Demand, aggregate.Demand, nil)
		aggregate.Running, aggregate.Demand = nil, nil
		aggregates = append(aggregates, aggregate)
	}
	return aggregates
}

// Reporters returns the live entries that report to this one.
func (state State) Reporters() []Member {
	return slices.DeleteFunc(slices.Clone(state.sessionSum.Members), func(member Member) bool { return member.Name == state.self.Name })
}

// sum adds up the state of this entry and the heartbeats of all reporting entries except one.
func (state State) sum(except string) Aggregate {
	self, sum := state.self, state.sessionSum
	excluded := state.sessions[except].value
	sum.ID = self.ID()
	if except != "" {
		sum.ID += "/" + excluded.id()
	}
	counted := excluded.last
	if excluded.expired {
		counted = EntryState{}
	}
	sum.Admitted = adjusted(adjusted(sum.Admitted, self.Admitted, excluded.last.Admitted), excluded.first.Admitted, nil)
	sum.Running = adjusted(sum.Running, self.Running, counted.Running)
	sum.Demand = adjusted(sum.Demand, self.Demand, counted.Demand)
	return sum
}
