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

// outdates reports whether a heartbeat was sent before the last one of the session.
//
// An incarnation is numbered by the wall clock, so one with a lower number is the later one if the clock was set back
// between two starts. It is taken for that once the incarnation with the higher number is no longer alive.
func (session session) outdates(heartbeat EntryState) bool {
	last := session.lastHeartbeat
	if heartbeat.Incarnation == last.Incarnation {
		return heartbeat.Sequence <= last.Sequence
	}
	return heartbeat.Incarnation < last.Incarnation && !session.expired
}

// WithHeartbeat returns the state after a heartbeat of another entry; an outdated one changes nothing, nor does one of a new
// entry beyond maxEntries.
//
// What the other entry admitted before the first heartbeat of its session is not added: either an earlier
// aggregator counts it, or no aggregator does.
func (state State) WithHeartbeat(heartbeat EntryState, now time.Duration) State {
	state = state.WithoutExpired(now)
	previous, exists := state.sessions[heartbeat.Name]
	sameIncarnation := exists && previous.value.lastHeartbeat.Incarnation == heartbeat.Incarnation
	if exists && previous.value.outdates(heartbeat) || !exists && len(state.sessions) >= maxEntries {
		return state
	}
	// counted is the heartbeat whose levels are part of sessionSum so far.
	next, counted := session{lastHeartbeat: heartbeat, firstHeartbeat: heartbeat}, EntryState{}
	if sameIncarnation && previous.within(admittedTTL, now) {
		next.firstHeartbeat = previous.value.firstHeartbeat
		state.sessionSum = state.sessionSum.withTotals(heartbeat.growthSince(previous.value.lastHeartbeat), EntryState{})
	}
	if exists && !previous.value.expired {
		counted = previous.value.lastHeartbeat
	}
	state.sessionSum = state.sessionSum.withLevels(heartbeat, counted)
	state.sessions = withValue(state.sessions, heartbeat.Name, received[session]{next, now}, admittedTTL)
	if heartbeat.Member != counted.Member {
		state.sessionSum = state.sessionSum.WithMembers(state.members())
	}
	return state
}

// WithoutExpired returns the state without the members and levels of sessions that have expired by now.
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
		state.sessionSum = state.sessionSum.withLevels(EntryState{}, entry.value.lastHeartbeat)
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
// The sums of all of them are added up in the first one, since they would otherwise make up most of the message. What
// other aggregators report is added as it grows, so that the totals in it never restart from a lower value.
func (state State) AggregatesFor(name string, now time.Duration) []Aggregate {
	receiverID := state.sessions[name].value.lastHeartbeat.ID()
	sum := state.sumExcept(name)
	for computer, growth := range state.relayed {
		if computer != receiverID {
			sum = sum.withTotals(growth, EntryState{})
		}
	}
	covered := map[string]bool{state.self.Name: true, name: true}
	cover(covered, state.sessionSum.Members)
	for _, aggregate := range state.receivedAggregates(now) {
		if aggregate.computedBy(receiverID) {
			cover(covered, aggregate.Members) // The receiver counts them itself.
		}
	}
	levels := sum.Levels().withReports(state.levelReports(receiverID, now), covered)
	sum.Running, sum.Demand, sum.PrefillSamples = levels.Running, levels.Demand, levels.PrefillSamples
	sum.PaceLogs, sum.PaceSamples, sum.MovedEntries, sum.ShareFigures = levels.PaceLogs, levels.PaceSamples, levels.MovedEntries, levels.ShareFigures
	aggregates := []Aggregate{sum}
	for _, aggregate := range state.receivedAggregates(now) {
		if !aggregate.computedBy(receiverID) && len(aggregate.Members) > 0 {
			aggregates = append(aggregates, aggregate.membersOnly())
		}
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
		counted = EntryState{} // Its levels are no longer part of sessionSum.
	}
	// Of the excluded entry, sessionSum has what it admitted between its first and its last heartbeat.
	sum = sum.withTotals(self, excluded.lastHeartbeat).withTotals(excluded.firstHeartbeat, EntryState{})
	return sum.withLevels(self, counted)
}
