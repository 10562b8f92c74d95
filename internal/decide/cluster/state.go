package cluster

import (
	"maps"
	"strings"
	"time"
)

const (
	// livenessTimeout is how long an entry counts as alive after its last message.
	livenessTimeout = 2 * time.Second
	// admittedTTL is how long the admitted totals of an aggregate count after its last update, since its
	// entries may continue to admit calls. It is longer than the time for which an entry that is cut off
	// from its peers may continue to run calls.
	admittedTTL = 6 * time.Second
	// usageTTL is how long the usage counts of an incarnation are kept after the last update.
	usageTTL = time.Minute
	// maxEntries bounds the entries, and the aggregates and member lists of entries, of which a state is kept. It is many
	// times the number of entries, since the ids of ended incarnations count until they expire.
	maxEntries = 2048
)

// State is the state of this entry and the latest states received from others. It is immutable.
type State struct {
	self EntryState
	// sessions are the sessions of the entries that send their heartbeats to this one, by name.
	sessions map[string]received[session]
	// sessionSum is the aggregate of the live sessions, with this entry among its members. The
	// totals admitted between a session's first and last heartbeat stay in it after the session has expired.
	sessionSum Aggregate
	// aggregates are the latest aggregates received from the aggregators that computed them, by ID.
	aggregates map[string]received[Aggregate]
	// relayed is what the totals of the received aggregates have grown by since this entry started, by the incarnation
	// that computed them. Those of incarnations without a recent aggregate are added up under the empty id.
	relayed map[string]EntryState
	// aggregatorReply is the latest reply of this entry's aggregator: the aggregates of all other entries.
	aggregatorReply received[[]Aggregate]
	// memberLists are the member lists received from others, by origin.
	memberLists map[string]received[MemberList]
	// usage is the usage counts of other incarnations, by ID.
	usage map[string]received[Usage]
}

// received is a value with the time of this entry's boot clock at which it was received. For a single
// aggregate, its age at that time is subtracted, which yields the estimated time at which it was computed.
type received[T any] struct {
	value T
	at    time.Duration
}

func (received received[T]) within(limit, now time.Duration) bool { return now-received.at <= limit }

// New returns the state of an entry that has received no messages yet.
func New(self EntryState) State {
	return State{self: self, sessionSum: Aggregate{ID: self.ID() + "/reports"}.WithMembers([]Member{self.Member})}
}

// Self returns this entry's own state.
func (state State) Self() EntryState { return state.self }

// WithSelf returns the state with this entry's own state replaced and its sequence number incremented.
func (state State) WithSelf(self EntryState) State {
	memberChanged := self.Member != state.self.Member
	self.Sequence = state.self.Sequence + 1
	state.self = self
	state.sessionSum.Sequence = self.Sequence
	if memberChanged {
		state.sessionSum = state.sessionSum.WithMembers(state.members())
	}
	return state
}

// WithAggregate returns the state after an aggregator sent an aggregate; an outdated one changes nothing.
func (state State) WithAggregate(aggregate Aggregate, now time.Duration) State {
	last, exists := state.aggregates[aggregate.ID]
	if aggregate.computedBy(state.self.ID()) || exists && aggregate.Sequence <= last.value.Sequence || !exists && len(state.aggregates) >= maxEntries {
		return state
	}
	state.aggregates = withValue(state.aggregates, aggregate.ID, received[Aggregate]{state.withKnownMembers(aggregate), now - aggregate.Age}, admittedTTL)
	if exists {
		state.relayed = state.withGrowth(aggregate, last.value)
	}
	return state
}

// withGrowth returns relayed with what the totals of an aggregate have grown by since its last version.
func (state State) withGrowth(aggregate, last Aggregate) map[string]EntryState {
	recent := map[string]bool{aggregate.computer(): true}
	for _, other := range state.aggregates {
		recent[other.value.computer()] = true
	}
	relayed := make(map[string]EntryState, len(state.relayed)+1)
	for computer, growth := range state.relayed {
		if !recent[computer] {
			computer = ""
		}
		relayed[computer] = relayed[computer].withTotals(growth)
	}
	computer := aggregate.computer()
	relayed[computer] = relayed[computer].withTotals(aggregate.totals().growthSince(last.totals()))
	return relayed
}

// WithEvidenceOf returns the state with the evidence of the orders of roll-outs for which keep returns true. That of others would be
// sent for as long as the entry lives.
func (state State) WithEvidenceOf(keep func(order int64) bool) State {
	state.sessionSum.Evidence = state.sessionSum.Evidence.Of(keep)
	relayed := make(map[string]EntryState, len(state.relayed))
	for computer, growth := range state.relayed {
		relayed[computer] = growth.withEvidenceOf(keep)
	}
	state.relayed = relayed
	sessions := make(map[string]received[session], len(state.sessions))
	for name, entry := range state.sessions {
		entry.value.firstHeartbeat = entry.value.firstHeartbeat.withEvidenceOf(keep)
		entry.value.lastHeartbeat = entry.value.lastHeartbeat.withEvidenceOf(keep)
		sessions[name] = entry
	}
	state.sessions = sessions
	return state
}

// WithAggregatorReply returns the state after this entry's aggregator sent the aggregates of all other entries.
func (state State) WithAggregatorReply(aggregates []Aggregate, now time.Duration) State {
	complete := make([]Aggregate, len(aggregates))
	for i, aggregate := range aggregates {
		complete[i] = state.withKnownMembers(aggregate)
	}
	state.aggregatorReply = received[[]Aggregate]{complete, now}
	return state
}

// WithUsage returns the state merged with usage counts of other incarnations.
//
// A leader receives those of all entries, so the counts of an incarnation are copied only where they have grown.
func (state State) WithUsage(updates []Usage, now time.Duration) State {
	if len(updates) == 0 {
		return state
	}
	merged := make(map[string]received[Usage], len(state.usage)+len(updates))
	for id, last := range state.usage {
		if last.within(usageTTL, now) {
			merged[id] = last
		}
	}
	for _, update := range updates {
		if update.ID == state.self.ID() {
			continue
		}
		if _, exists := merged[update.ID]; !exists && len(merged) >= maxEntries {
			continue
		}
		last := merged[update.ID].value
		next := Usage{ID: update.ID, Counts: last.Counts.Merge(update.Counts), AsOf: update.AsOf}
		if last.AsOf.After(next.AsOf) {
			next.AsOf = last.AsOf
		}
		merged[update.ID] = received[Usage]{next, now}
	}
	state.usage = merged
	return state
}

// Usage returns the usage counts of other incarnations, including ended ones.
func (state State) Usage() []Usage {
	usages := make([]Usage, 0, len(state.usage))
	for _, received := range state.usage {
		usages = append(usages, received.value)
	}
	return usages
}

// UsageMissing returns the fraction of the other live entries of which this entry does not have the usage counts up to a
// wall-clock time.
func (state State) UsageMissing(until time.Time, now time.Duration) float64 {
	others, missing := 0, 0
	for _, member := range state.WithoutExpired(now).alive(now) {
		if member.Name == state.self.Name {
			continue
		}
		others++
		if state.usage[member.ID()].value.AsOf.Before(until) {
			missing++
		}
	}
	return float64(missing) / float64(max(1, others))
}

// OtherAggregates returns aggregates that together are the states of all other entries.
//
// Aggregates that were not updated within the last 2 s have their admitted totals only.
func (state State) OtherAggregates(now time.Duration) []Aggregate {
	if len(state.sessions) == 0 && len(state.sessionSum.Admitted) == 0 {
		return state.receivedAggregates(now)
	}
	return append(state.receivedAggregates(now), state.sessionSum)
}

// MemberDigests returns the digest of the members of each aggregate in the aggregator's last reply.
func (state State) MemberDigests() []MemberDigest {
	var digests []MemberDigest
	for _, aggregate := range state.aggregatorReply.value {
		digests = append(digests, MemberDigest{aggregate.ID, aggregate.MemberDigest})
	}
	return digests
}

// MemberDigestOf returns the digest of the members that this entry has for an aggregate, 0 for none.
func (state State) MemberDigestOf(id string) uint64 { return state.aggregates[id].value.MemberDigest }

// alive returns the latest incarnations of the live entries, this one included, ordered by name.
func (state State) alive(now time.Duration) []Member {
	lists := state.directMemberLists(now)
	for _, list := range state.memberLists {
		if list.within(livenessTimeout, now) {
			lists = append(lists, list.value.Members)
		}
	}
	return latestIncarnations(lists...)
}

// directMemberLists returns the live entries that sent heartbeats to this one or are in received aggregates,
// with this entry.
func (state State) directMemberLists(now time.Duration) [][]Member {
	lists := [][]Member{state.sessionSum.Members}
	for _, aggregate := range state.receivedAggregates(now) {
		lists = append(lists, aggregate.Members)
	}
	return lists
}

// latestIncarnations merges lists of members, each ordered by name, into the latest incarnation of each, ordered by name.
// Of two members with the same incarnation it returns that of the earlier list.
func latestIncarnations(lists ...[]Member) []Member {
	if len(lists) == 0 {
		return nil
	}
	if len(lists) == 1 {
		return lists[0]
	}
	half := len(lists) / 2
	first, second := latestIncarnations(lists[:half]...), latestIncarnations(lists[half:]...)
	merged := make([]Member, 0, len(first)+len(second))
	for len(first) > 0 && len(second) > 0 {
		switch order := strings.Compare(first[0].Name, second[0].Name); {
		case order < 0:
			merged, first = append(merged, first[0]), first[1:]
		case order > 0:
			merged, second = append(merged, second[0]), second[1:]
		default:
			latest := first[0]
			if second[0].Incarnation > latest.Incarnation {
				latest = second[0]
			}
			merged, first, second = append(merged, latest), first[1:], second[1:]
		}
	}
	return append(append(merged, first...), second...)
}

// receivedAggregates returns the aggregates that other entries computed, the latest version of each; those that
// were not updated within livenessTimeout have their admitted totals only.
func (state State) receivedAggregates(now time.Duration) []Aggregate {
	latest := maps.Clone(state.aggregates)
	if latest == nil {
		latest = map[string]received[Aggregate]{}
	}
	for _, aggregate := range state.aggregatorReply.value {
		at := state.aggregatorReply.at - aggregate.Age
		if last, exists := latest[aggregate.ID]; !exists || at > last.at {
			latest[aggregate.ID] = received[Aggregate]{aggregate, at}
		}
	}
	var aggregates []Aggregate
	for _, aggregate := range latest {
		aggregate.value.Age = now - aggregate.at
		switch {
		case aggregate.value.computedBy(state.self.ID()), !aggregate.within(admittedTTL, now):
		case aggregate.within(livenessTimeout, now):
			aggregates = append(aggregates, aggregate.value)
		default:
			aggregates = append(aggregates, aggregate.value.totalsOnly())
		}
	}
	return aggregates
}

// withKnownMembers returns the aggregate with the members that its sender omitted, if this entry has them.
func (state State) withKnownMembers(aggregate Aggregate) Aggregate {
	if aggregate.Members != nil {
		return aggregate
	}
	if last := state.aggregates[aggregate.ID].value; last.MemberDigest == aggregate.MemberDigest {
		aggregate.Members = last.Members
	}
	for _, last := range state.aggregatorReply.value {
		if last.ID == aggregate.ID && last.MemberDigest == aggregate.MemberDigest {
			aggregate.Members = last.Members
		}
	}
	if aggregate.Members == nil {
		aggregate.MemberDigest = 0 // This asks the sender for the members.
	}
	return aggregate
}

// withValue returns a copy of the map with a value added, and without the values that are older than it by more
// than ttl.
func withValue[T any](values map[string]received[T], key string, value received[T], ttl time.Duration) map[string]received[T] {
	next := make(map[string]received[T], len(values)+1)
	for oldKey, old := range values {
		if old.within(ttl, value.at) {
			next[oldKey] = old
		}
	}
	next[key] = value
	return next
}
