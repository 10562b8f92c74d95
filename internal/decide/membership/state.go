package membership

import (
	"slices"
	"time"
)

// State is the membership and the items that an entry exchanges with its peers. It is immutable.
type State struct {
	self     Origin
	table    Table
	view     View
	detector Detector
	// revision is the highest configuration revision received from any entry.
	revision int64
	// revisionRoundsLeft is the number of rounds for which the revision is still sent ahead.
	revisionRoundsLeft int
	// urgentItems are ordered by the time at which they were queued, oldest first.
	urgentItems []urgentItem
}

// urgentItem refers to an item that is still sent ahead of the exchange of versions.
type urgentItem struct {
	id   ID
	kind Kind
	key  string
	// roundsLeft is the number of rounds in which the item is still sent ahead.
	roundsLeft int
}

// Offer is the message that opens an exchange or, without a digest, only delivers items.
type Offer struct {
	Revision int64
	// Full reports whether Digest is the sender's complete digest, with which the receiver compares its items for
	// the [Reply].
	Full   bool
	Digest []OriginVersion
	Deltas []Delta
}

// Reply answers an [Offer].
type Reply struct {
	Revision int64
	// Deltas are the items that the offering side lacks.
	Deltas []Delta
	// Wanted are the versions after which the replying side needs items of the offering side.
	Wanted []OriginVersion
}

const (
	// urgentRounds is the number of rounds for which an urgent item is sent ahead. With
	// two urgent offers and one full exchange a round, the item reaches nearly all of 420
	// entries in that time, and later full exchanges bring it to the remaining entries.
	urgentRounds = 4
	// maxUrgentItems bounds the urgent items of a message to about 4 KB when a whole failure
	// domain leaves or all entries start; the exchange of versions delivers the other items.
	maxUrgentItems = 32
	// maxQueuedUrgentItems is the number of urgent items that fit into the messages of urgentRounds rounds;
	// a longer queue would hold items whose rounds end before they can be sent.
	maxQueuedUrgentItems = maxUrgentItems * urgentRounds
	// claimTTL is how long a claim that an entry is suspect is propagated, far longer than it needs to reach
	// all entries.
	claimTTL = time.Minute
)

// NewState returns the state of an entry that has just started.
func NewState(self Origin, profile Profile) State {
	member := Member{Origin: self, Profile: profile, Condition: ConditionAlive}
	state := State{self: self}
	return state.WithPublished(Item{Kind: KindMember, Member: &member})
}

// Self returns the origin of the entry to which the state belongs.
func (state State) Self() Origin { return state.self }

// View returns the membership.
func (state State) View() View { return state.view }

// Table returns the items by origin.
func (state State) Table() Table { return state.table }

// Revision returns the highest configuration revision received from any entry.
func (state State) Revision() int64 { return state.revision }

// WithRevision returns the state with the higher of its configuration revision and the given one.
func (state State) WithRevision(revision int64) State {
	if revision > state.revision {
		state.revision = revision
		state.revisionRoundsLeft = urgentRounds
	}
	return state
}

// WithPublished returns the state with items published by this entry.
func (state State) WithPublished(items ...Item) State {
	items = slices.Clone(items)
	first := state.table.HighestVersion(state.self.ID()) + 1
	for i := range items {
		if items[i].Kind == KindMember {
			member := items[i].Member.WithVersion(first + uint64(i))
			items[i].Member = &member
		}
	}
	state.table = state.table.WithPublished(state.self, items...)
	return state.withNewItems([]Delta{{
		ID:       state.self.ID(),
		Origin:   state.self,
		Complete: state.table.HighestVersion(state.self.ID()),
		Items:    items,
	}})
}

// WithLeaving returns the state with this entry marked as leaving.
func (state State) WithLeaving() State {
	self := state.selfMember().WithLeaving()
	return state.WithPublished(Item{Kind: KindMember, Member: &self})
}

// WithListings returns the state merged with the VM list.
func (state State) WithListings(listings []Listing) State {
	state.view = state.view.WithListings(listings)
	return state
}

// WithUnreachable returns the state after an exchange with a peer failed; the state claims that the peer is
// suspect.
//
// The claim is published only while the peer counts as alive, since many entries
// may fail to reach the same peer and would repeat the claim.
func (state State) WithUnreachable(name string, now time.Time) State {
	member, ok := state.view.Member(name)
	if !ok || member.Condition != ConditionAlive || name == state.self.Name {
		return state
	}
	suspected := member.WithCondition(ConditionSuspect)
	return state.WithPublished(Item{
		Kind:    KindClaim,
		Key:     name,
		Member:  &suspected,
		Expires: now.Add(claimTTL).Unix(),
	})
}

// WithTick returns the state after the failure detector ran, without expired items and without the items of gone
// entries that have no expiry time.
//
// If the view marks this entry itself as suspect or gone, the state publishes the entry's record at a higher
// version, which refutes that.
func (state State) WithTick(now time.Time) State {
	state.detector, state.view = state.detector.WithView(state.view, state.self.Name, now)
	state.table = state.table.WithoutExpired(now)
	for id, record := range state.table.records {
		member, ok := state.view.Member(record.origin.Name)
		if ok && record.origin != state.self && (member.Condition == ConditionGone || member.Incarnation.Compare(record.origin.Incarnation) > 0) {
			state.table = state.table.WithOriginGone(id, now)
		}
	}
	if self := state.selfMember(); self.Condition != ConditionAlive {
		return state.WithPublished(Item{Kind: KindMember, Member: &self})
	}
	return state
}

// WithOffer returns the state merged with an offer, and the reply to it.
func (state State) WithOffer(offer Offer, now time.Time) (State, Reply) {
	next := state.WithRevision(offer.Revision).withDeltas(offer.Deltas, now)
	reply := Reply{Revision: next.revision}
	if offer.Full {
		reply.Deltas, reply.Wanted = next.table.Compare(offer.Digest)
	}
	return next, reply
}

// WithReply returns the state merged with a reply, and an offer with the items that the other side requested.
func (state State) WithReply(reply Reply, now time.Time) (State, Offer) {
	next := state.WithRevision(reply.Revision).withDeltas(reply.Deltas, now)
	return next, Offer{Revision: next.revision, Deltas: next.table.DeltasAfter(reply.Wanted)}
}

// Offer returns the offer that opens a full exchange.
func (state State) Offer() Offer {
	return Offer{Revision: state.revision, Full: true, Digest: state.table.Digest(), Deltas: state.urgentDeltas()}
}

// UrgentOffer returns an offer with urgent items and the revision only, and reports whether it has any to send.
func (state State) UrgentOffer() (Offer, bool) {
	offer := Offer{Revision: state.revision, Deltas: state.urgentDeltas()}
	return offer, len(offer.Deltas) > 0 || state.revisionRoundsLeft > 0
}

// HasUnsentUpdates reports whether an urgent item or the revision has not been sent ahead yet.
func (state State) HasUnsentUpdates() bool {
	unsent := func(item urgentItem) bool { return item.roundsLeft == urgentRounds }
	return state.revisionRoundsLeft == urgentRounds || slices.ContainsFunc(state.urgentItems, unsent)
}

// WithRound returns the state after a gossip round: each urgent item has one round less in which it is sent
// ahead.
func (state State) WithRound() State {
	var remaining []urgentItem
	for _, item := range state.urgentItems {
		item.roundsLeft--
		if item.roundsLeft > 0 {
			remaining = append(remaining, item)
		}
	}
	state.urgentItems = remaining
	state.revisionRoundsLeft = max(0, state.revisionRoundsLeft-1)
	return state
}

func (state State) selfMember() Member {
	self, _ := state.view.Member(state.self.Name)
	return self
}

func (state State) withDeltas(deltas []Delta, now time.Time) State {
	var changes []Delta
	state.table, changes = state.table.WithDeltas(deltas, now)
	return state.withNewItems(changes)
}

// withNewItems merges the members carried by new items and queues the urgent items to be sent ahead.
func (state State) withNewItems(deltas []Delta) State {
	var members []Member
	queue := slices.Clone(state.urgentItems)
	for _, delta := range deltas {
		for _, item := range delta.Items {
			if item.Member != nil {
				members = append(members, *item.Member)
			}
			if item.Kind.Urgent() {
				queue = withUrgentItem(queue, urgentItem{delta.ID, item.Kind, item.Key, urgentRounds})
			}
		}
	}
	state.view = state.view.WithMembers(members...)
	state.view = state.view.WithMembers(membersWithHeartbeats(state.view, deltas)...)
	state.urgentItems = queue
	return state
}

// membersWithHeartbeats returns the members whose origin published a higher version, alive at that version.
func membersWithHeartbeats(view View, deltas []Delta) []Member {
	members := make([]Member, 0, len(deltas))
	for _, delta := range deltas {
		member, ok := view.Member(delta.Origin.Name)
		if ok && member.Incarnation == delta.Origin.Incarnation {
			members = append(members, member.WithVersion(delta.Complete))
		}
	}
	return members
}

// urgentDeltas returns the urgent items that were queued last, one delta for each, as many as fit into a
// message.
func (state State) urgentDeltas() []Delta {
	var deltas []Delta
	for _, urgent := range state.urgentItems[max(0, len(state.urgentItems)-maxUrgentItems):] {
		record, ok := state.table.records[urgent.id]
		if !ok {
			continue
		}
		for _, item := range record.items {
			if item.Kind == urgent.kind && item.Key == urgent.key {
				deltas = append(deltas, Delta{ID: urgent.id, Origin: record.origin, Items: []Item{item}})
			}
		}
	}
	return deltas
}

// withUrgentItem returns the queue with the item at its end; an older reference to the same item is dropped,
// and so are the oldest items of a queue that is too long.
func withUrgentItem(queue []urgentItem, item urgentItem) []urgentItem {
	queue = slices.DeleteFunc(queue, func(queued urgentItem) bool {
		return queued.id == item.id && queued.kind == item.kind && queued.key == item.key
	})
	queue = append(queue, item)
	return queue[max(0, len(queue)-maxQueuedUrgentItems):]
}
