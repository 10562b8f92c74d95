package cluster

import "time"

// MemberList is the live entries that an entry names to another.
type MemberList struct {
	// Origin is the incarnation that named them.
	Origin  string
	Members []Member
	// Relayed tells that the roll came by way of a third entry, and goes no further.
	Relayed bool
}

// MemberList returns the live entries that are known from themselves or from relays.
//
// What others named is left out, since entries that have ended would be named by one another for ever.
func (state State) MemberList(now time.Duration) MemberList {
	return MemberList{Origin: state.self.ID(), Members: newest(state.lists(now)...)}
}

// ReceivedMemberLists returns the entries that others named to this one, for its relay.
func (state State) ReceivedMemberLists(now time.Duration) []MemberList {
	var rolls []MemberList
	for _, roll := range state.rolls {
		if roll.within(aliveTime, now) && !roll.value.Relayed {
			told := roll.value
			told.Relayed = true
			rolls = append(rolls, told)
		}
	}
	return rolls
}

// WithMemberLists returns the state after entries were named by others.
func (state State) WithMemberLists(rolls []MemberList, now time.Duration) State {
	for _, roll := range rolls {
		state.rolls = with(state.rolls, roll.Origin, heard[MemberList]{roll, now}, aliveTime)
	}
	return state
}
