package cluster

import "time"

// MemberList is the live entries that one entry sends to another.
type MemberList struct {
	// Origin is the id of the incarnation that made the list, as returned by [Member.ID].
	Origin  string
	Members []Member
	// Relayed reports whether the sender received the list from its origin; a relayed list is not relayed again.
	Relayed bool
}

// MemberList returns the live entries that sent heartbeats to this one or are in received aggregates.
//
// Entries that are only in the member lists of others are left out. Otherwise, an entry that has ended would
// stay in the lists forever, since each entry would list it because others do.
func (state State) MemberList(now time.Duration) MemberList {
	return MemberList{Origin: state.self.ID(), Members: latestIncarnations(state.directMemberLists(now)...)}
}

// ReceivedMemberLists returns the member lists that this entry received directly from their origins, marked as
// relayed, for its aggregator.
func (state State) ReceivedMemberLists(now time.Duration) []MemberList {
	var lists []MemberList
	for _, list := range state.memberLists {
		if list.within(livenessTimeout, now) && !list.value.Relayed {
			relayed := list.value
			relayed.Relayed = true
			lists = append(lists, relayed)
		}
	}
	return lists
}

// WithMemberLists returns the state after member lists were received.
func (state State) WithMemberLists(lists []MemberList, now time.Duration) State {
	for _, list := range lists {
		if _, exists := state.memberLists[list.Origin]; !exists && len(state.memberLists) >= maxEntries {
			continue
		}
		state.memberLists = withValue(state.memberLists, list.Origin, received[MemberList]{list, now}, livenessTimeout)
	}
	return state
}
