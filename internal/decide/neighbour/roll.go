package neighbour

import "time"

// MemberList is the live entries that one entry sends to another.
type Roll struct {
	// Origin is the id of the incarnation that made the list.
	By      string
	Members []Member
	// Relayed reports whether a third entry passed the list on; a relayed list is not passed on again.
	Told bool
}

// MemberList returns the live entries that reported to this one or are in received aggregates.
//
// Entries from the member lists of others are left out, since entries would otherwise list ended ones
// to one another forever.
func (state State) Roll(now time.Duration) Roll {
	return Roll{By: state.self.ID(), Members: latestIncarnations(state.directMemberLists(now)...)}
}

// ReceivedMemberLists returns the member lists received from their origins, marked as relayed, for the aggregator.
func (state State) Heard(now time.Duration) []Roll {
	var lists []Roll
	for _, list := range state.memberLists {
		if list.within(livenessTimeout, now) && !list.value.Told {
			relayed := list.value
			relayed.Told = true
			lists = append(lists, relayed)
		}
	}
	return lists
}

// WithMemberLists returns the state after member lists were received.
func (state State) WithRolls(lists []Roll, now time.Duration) State {
	for _, list := range lists {
		state.memberLists = withValue(state.memberLists, list.By, received[Roll]{list, now}, livenessTimeout)
	}
	return state
}
