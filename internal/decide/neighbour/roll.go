package neighbour

import "time"

// Roll is the live entries that an entry names to another.
type Roll struct {
	// By is the incarnation that named them.
	By      string
	Members []Member
	// Told tells that the roll came by way of a third entry, and goes no further.
	Told bool
}

// Roll returns the live entries that are known from themselves or from relays.
//
// What others named is left out, since entries that have ended would be named by one another for ever.
func (state State) Roll(now time.Duration) Roll {
	return Roll{By: state.self.ID(), Members: newest(state.lists(now)...)}
}

// Heard returns the entries that others named to this one, for its relay.
func (state State) Heard(now time.Duration) []Roll {
	var rolls []Roll
	for _, roll := range state.rolls {
		if roll.within(aliveTime, now) && !roll.value.Told {
			told := roll.value
			told.Told = true
			rolls = append(rolls, told)
		}
	}
	return rolls
}

// WithRolls returns the state after entries were named by others.
func (state State) WithRolls(rolls []Roll, now time.Duration) State {
	for _, roll := range rolls {
		state.rolls = with(state.rolls, roll.By, heard[Roll]{roll, now}, aliveTime)
	}
	return state
}
