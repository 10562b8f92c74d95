package membership

import (
	"slices"
	"time"
)

// State is all that an entry exchanges with others.
type State struct {
	self     Origin
	table    Table
	view     View
	detector Detector
	// revision is the highest configuration revision that any entry is known to have.
	revision int64
	// revisionRounds is how many rounds the revision is still sent ahead.
	revisionRounds int
	rumours        []rumour
}

// rumour is an urgent item that is still sent ahead.
type rumour struct {
	id     ID
	kind   Kind
	key    string
	rounds int
}

// Offer opens an exchange or, without a digest, passes items on.
type Offer struct {
	Revision int64
	// Full reports that Digest is the sender's whole digest and wants an answer.
	Full   bool
	Digest []Version
	Deltas []Delta
}

// Reply answers an [Offer].
type Reply struct {
	Revision int64
	// Deltas is what the offering side lacks.
	Deltas []Delta
	// Wanted is where the replying side lags behind.
	Wanted []Version
}

const (
	// rumourRounds is how many rounds an urgent item is sent ahead. With two
	// rumours and one full exchange a round it reaches nearly all of 420 entries
	// in that time, and the exchange reaches the rest.
	rumourRounds = 4
	// maxRumours bounds a message to about 4 KB of rumours while a whole failure
	// domain leaves or all entries start; the exchange of versions brings the rest.
	maxRumours = 32
	// keptRumours is as many as can be sent before they are too old.
	keptRumours = maxRumours * rumourRounds
	// claimLife is how long a claim is passed on, far longer than it needs to spread.
	claimLife = time.Minute
)

// NewState returns the state of an entry that has just started.
func NewState(self Origin, profile Profile) State {
	member := Member{Origin: self, Profile: profile, Condition: ConditionAlive}
	state := State{self: self}
	return state.WithPut(Item{Kind: KindMember, Member: &member})
}

// Self returns the entry that holds the state.
func (state State) Self() Origin { return state.self }

// View returns the membership.
func (state State) View() View { return state.view }

// Table returns the items.
func (state State) Table() Table { return state.table }

// Revision returns the highest configuration revision known of.
func (state State) Revision() int64 { return state.revision }

// WithRevision returns the state with a revision known of, which never falls.
func (state State) WithRevision(revision int64) State {
	if revision > state.revision {
		state.revision = revision
		state.revisionRounds = rumourRounds
	}
	return state
}

// WithPut returns the state with items that this entry states.
func (state State) WithPut(items ...Item) State {
	items = slices.Clone(items)
	first := state.table.HighestVersion(state.self.ID()) + 1
	for i := range items {
		if items[i].Kind == KindMember {
			member := items[i].Member.WithVersion(first + uint64(i))
			items[i].Member = &member
		}
	}
	state.table = state.table.WithPut(state.self, items...)
	return state.withNews([]Delta{{
		ID:       state.self.ID(),
		Origin:   state.self,
		Complete: state.table.HighestVersion(state.self.ID()),
		Items:    items,
	}})
}

// WithLeaving returns the state after this entry was told to stop.
func (state State) WithLeaving() State {
	me := state.me().WithLeaving()
	return state.WithPut(Item{Kind: KindMember, Member: &me})
}

// WithListings returns the state joined with the VM list.
func (state State) WithListings(listings []Listing) State {
	state.view = state.view.WithListings(listings)
	return state
}

// WithUnreachable returns the state after an exchange with a peer failed.
//
// Only the first doubt is stated, since many entries fail to reach the same peer.
func (state State) WithUnreachable(name string, now time.Time) State {
	member, ok := state.view.Member(name)
	if !ok || member.Condition != ConditionAlive || name == state.self.Name {
		return state
	}
	doubted := member.WithCondition(ConditionSuspect)
	return state.WithPut(Item{
		Kind:    KindClaim,
		Key:     name,
		Member:  &doubted,
		Expires: now.Add(claimLife).Unix(),
	})
}

// WithTick returns the state after a look at the clock.
//
// The entry contradicts a doubt about itself by stating a higher version.
func (state State) WithTick(now time.Time) State {
	state.detector, state.view = state.detector.WithView(state.view, state.self.Name, now)
	state.table = state.table.WithoutExpired(now)
	for id, record := range state.table.records {
		member, ok := state.view.Member(record.origin.Name)
		if ok && record.origin != state.self && (member.Condition == ConditionGone || member.Incarnation.Compare(record.origin.Incarnation) > 0) {
			state.table = state.table.WithOriginGone(id, now)
		}
	}
	if me := state.me(); me.Condition != ConditionAlive {
		return state.WithPut(Item{Kind: KindMember, Member: &me})
	}
	return state
}

// WithOffer returns the state joined with an offer, and the reply to it.
func (state State) WithOffer(offer Offer, now time.Time) (State, Reply) {
	next := state.WithRevision(offer.Revision).withDeltas(offer.Deltas, now)
	reply := Reply{Revision: next.revision}
	if offer.Full {
		reply.Deltas, reply.Wanted = next.table.Compare(offer.Digest)
	}
	return next, reply
}

// WithReply returns the state joined with a reply, and the offer that the other side wants, if any.
func (state State) WithReply(reply Reply, now time.Time) (State, Offer) {
	next := state.WithRevision(reply.Revision).withDeltas(reply.Deltas, now)
	return next, Offer{Revision: next.revision, Deltas: next.table.Since(reply.Wanted)}
}

// Offer returns the offer that opens a full exchange.
func (state State) Offer() Offer {
	return Offer{Revision: state.revision, Full: true, Digest: state.table.Digest(), Deltas: state.rumoured()}
}

// UrgentOffer returns the offer of urgent news only, and false when there is none.
func (state State) UrgentOffer() (Offer, bool) {
	offer := Offer{Revision: state.revision, Deltas: state.rumoured()}
	return offer, len(offer.Deltas) > 0 || state.revisionRounds > 0
}

// HasUnsentUpdates reports whether there is urgent news that was not sent ahead yet.
func (state State) HasUnsentUpdates() bool {
	unsent := func(rumour rumour) bool { return rumour.rounds == rumourRounds }
	return state.revisionRounds == rumourRounds || slices.ContainsFunc(state.rumours, unsent)
}

// WithRound returns the state after a round, by which its rumours grow older.
func (state State) WithRound() State {
	var rumours []rumour
	for _, rumour := range state.rumours {
		rumour.rounds--
		if rumour.rounds > 0 {
			rumours = append(rumours, rumour)
		}
	}
	state.rumours = rumours
	state.revisionRounds = max(0, state.revisionRounds-1)
	return state
}

func (state State) me() Member {
	me, _ := state.view.Member(state.self.Name)
	return me
}

func (state State) withDeltas(deltas []Delta, now time.Time) State {
	var news []Delta
	state.table, news = state.table.WithDeltas(deltas, now)
	return state.withNews(news)
}

// withNews joins the membership that new items state and queues urgent ones as rumours.
func (state State) withNews(news []Delta) State {
	var members []Member
	rumours := slices.Clone(state.rumours)
	for _, delta := range news {
		for _, item := range delta.Items {
			if item.Member != nil {
				members = append(members, *item.Member)
			}
			if item.Kind.Urgent() {
				rumours = withRumour(rumours, rumour{delta.ID, item.Kind, item.Key, rumourRounds})
			}
		}
	}
	state.view = state.view.WithMembers(members...)
	state.view = state.view.WithMembers(heartbeats(state.view, news)...)
	state.rumours = rumours
	return state
}

// heartbeats returns the origins whose version rose, as live at that version.
func heartbeats(view View, news []Delta) []Member {
	members := make([]Member, 0, len(news))
	for _, delta := range news {
		member, ok := view.Member(delta.Origin.Name)
		if ok && member.Incarnation == delta.Origin.Incarnation {
			members = append(members, member.WithVersion(delta.Complete))
		}
	}
	return members
}

func (state State) rumoured() []Delta {
	var deltas []Delta
	for _, rumour := range state.rumours[max(0, len(state.rumours)-maxRumours):] {
		record, ok := state.table.records[rumour.id]
		if !ok {
			continue
		}
		for _, item := range record.items {
			if item.Kind == rumour.kind && item.Key == rumour.key {
				deltas = append(deltas, Delta{ID: rumour.id, Origin: record.origin, Items: []Item{item}})
			}
		}
	}
	return deltas
}

func withRumour(rumours []rumour, next rumour) []rumour {
	rumours = slices.DeleteFunc(rumours, func(known rumour) bool {
		return known.id == next.id && known.kind == next.kind && known.key == next.key
	})
	rumours = append(rumours, next)
	return rumours[max(0, len(rumours)-keptRumours):]
}
