package cluster

import (
	"maps"
	"slices"
	"strconv"
	"time"
)

// session is a series of heartbeats of one incarnation without a gap longer than admittedTTL.
type session struct {
	lastHeartbeat  EntryState
	firstHeartbeat EntryState
	// expired reports whether the entry no longer counts as alive, since livenessTimeout has passed.
	expired bool
}

// id returns the last part of the id of the aggregate that this entry sends to the session's entry; that
// aggregate is a different one for each session.
func (session session) id() string {
	return session.firstHeartbeat.ID() + "." + strconv.FormatUint(session.firstHeartbeat.Sequence, 36)
}

// WithHeartbeat returns the state after a heartbeat of another entry; an outdated one changes nothing.
//
// What the other entry admitted before the first heartbeat of its session is not added: either an earlier
// aggregator counts it, or no aggregator does.
func (state State) WithHeartbeat(heartbeat EntryState, now time.Duration) State {
	state = state.WithoutExpired(now)
	previous, exists := state.sessions[heartbeat.Name]
	sameIncarnation := exists && previous.value.lastHeartbeat.Incarnation == heartbeat.Incarnation
	if exists && (heartbeat.Incarnation < previous.value.lastHeartbeat.Incarnation || sameIncarnation && heartbeat.Sequence <= previous.value.lastHeartbeat.Sequence) {
		return state
	}
	// counted is the heartbeat whose running calls and demand are part of sessionSum so far.
	next, counted := session{lastHeartbeat: heartbeat, firstHeartbeat: heartbeat}, EntryState{}
	if sameIncarnation && previous.within(admittedTTL, now) {
		next.firstHeartbeat = previous.value.firstHeartbeat
		state.sessionSum.Admitted = adjusted(state.sessionSum.Admitted, heartbeat.Admitted, previous.value.lastHeartbeat.Admitted)
	}
	if exists && !previous.value.expired {
		counted = previous.value.lastHeartbeat
	}
	state.sessionSum.Running = adjusted(state.sessionSum.Running, heartbeat.Running, counted.Running)
	state.sessionSum.Demand = adjusted(state.sessionSum.Demand, heartbeat.Demand, counted.Demand)
	state.sessions = withValue(state.sessions, heartbeat.Name, received[session]{next, now}, admittedTTL)
	if heartbeat.Member != counted.Member {
		state.sessionSum = state.sessionSum.WithMembers(state.members())
	}
	return state
}

// WithoutExpired returns the state without the members, running calls and demand of sessions that have
// expired by now.
//
// What their entries admitted stays counted.
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
		state.sessionSum.Running = adjusted(state.sessionSum.Running, nil, entry.value.lastHeartbeat.Running)
		state.sessionSum.Demand = adjusted(state.sessionSum.Demand, nil, entry.value.lastHeartbeat.Demand)
		entry.value.expired = true
		sessions[name] = entry
	}
	state.sessions = sessions
	state.sessionSum = state.sessionSum.WithMembers(state.members())
	return state
}

// members returns this entry and the live entries that send their heartbeats to it.
func (state State) members() []Member {
	members := []Member{state.self.Member}
	for _, entry := range state.sessions {
		if !entry.value.expired {
			members = append(members, entry.value.lastHeartbeat.Member)
		}
	}
	return members
}

// Aggregates returns the aggregate that this entry sends to aggregators, or none if it has nothing to aggregate.
//
// The aggregate of an aggregator includes its own state. An entry that is not an aggregator reports its
// own state in its heartbeat, so its aggregate contains only the entries that nevertheless send heartbeats
// to it, for example because they cannot reach an aggregator.
func (state State) Aggregates(isAggregator bool) []Aggregate {
	switch {
	case isAggregator:
		return []Aggregate{state.sumExcept("")}
	case len(state.sessions) == 0:
		return nil
	}
	// The aggregate is sent for a while after the last session expired, then without running calls. The
	// receiver would otherwise count the running calls of the last aggregate that it received until that
	// aggregate expires.
	return []Aggregate{state.sessionSum}
}

// AggregatesFor returns the aggregates that this entry sends to an entry that sends heartbeats to it:
// together, they are the states of all entries except the receiver.
//
// The running calls and the demand of all aggregates are added up in the first one, since they
// would otherwise make up most of the message.
func (state State) AggregatesFor(name string, now time.Duration) []Aggregate {
	receiverID := state.sessions[name].value.lastHeartbeat.ID()
	aggregates := []Aggregate{state.sumExcept(name)}
	for _, aggregate := range state.receivedAggregates(now) {
		if aggregate.computedBy(receiverID) {
			continue
		}
		aggregates[0].Running = adjusted(aggregates[0].Running, aggregate.Running, nil)
		aggregates[0].Demand = adjusted(aggregates[0].Demand, aggregate.Demand, nil)
		aggregate.Running, aggregate.Demand = nil, nil
		aggregates = append(aggregates, aggregate)
	}
	return aggregates
}

// Reporters returns the live entries that send their heartbeats to this one.
func (state State) Reporters() []Member {
	return slices.DeleteFunc(slices.Clone(state.sessionSum.Members), func(member Member) bool { return member.Name == state.self.Name })
}

// sumExcept adds up the state of this entry and the heartbeats of all reporting entries except the named
// one; the empty name excludes none.
func (state State) sumExcept(except string) Aggregate {
	self, sum := state.self, state.sessionSum
	excluded := state.sessions[except].value
	sum.ID = self.ID()
	if except != "" {
		sum.ID += "/" + excluded.id()
	}
	counted := excluded.lastHeartbeat
	if excluded.expired {
		counted = EntryState{} // Its running calls and demand are no longer part of sessionSum.
	}
	// Of the excluded entry, sessionSum has what it admitted between its first and its last heartbeat.
	sum.Admitted = adjusted(adjusted(sum.Admitted, self.Admitted, excluded.lastHeartbeat.Admitted), excluded.firstHeartbeat.Admitted, nil)
	sum.Running = adjusted(sum.Running, self.Running, counted.Running)
	sum.Demand = adjusted(sum.Demand, self.Demand, counted.Demand)
	return sum
}
