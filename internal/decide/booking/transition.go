package booking

import (
	"github.com/qmuntal/stateless"
)

// Trigger is an event that changes the state of a booking.
type Trigger string

// The triggers of a booking.
const (
	// TriggerCommit is the commit of an intent for an order that has not run.
	TriggerCommit Trigger = "Commit"
	// TriggerReplace is a holder's new attempt in place of one that it abandoned without sending it.
	TriggerReplace Trigger = "Replace"
	// TriggerFinish records the answer.
	TriggerFinish Trigger = "Finish"
	// TriggerRefuse records that the order did not run.
	TriggerRefuse Trigger = "Refuse"
	// TriggerLose records that the outcome is lost: the order may or may not have run.
	TriggerLose Trigger = "Lose"
	// TriggerResend is a new attempt at a service that deduplicates by key.
	TriggerResend Trigger = "Resend"
)

var (
	states   = []State{StateAbsent, StateIntent, StateDone, StateRefused, StateUnknown}
	triggers = []Trigger{TriggerCommit, TriggerReplace, TriggerFinish, TriggerRefuse, TriggerLose, TriggerResend}
	// transitions holds the next state for each state and trigger, so that applying a
	// log does not build a state machine for each change.
	transitions = newTransitions()
)

// Next returns the state after the trigger, or false if the trigger is not permitted in the state.
func Next(state State, trigger Trigger) (State, bool) {
	next, ok := transitions[transitionKey{state, trigger}]
	return next, ok
}

type transitionKey struct {
	state   State
	trigger Trigger
}

// machine returns the state machine of a booking in the given state.
func machine(state State) *stateless.StateMachine {
	lifecycle := stateless.NewStateMachine(state)
	lifecycle.Configure(StateAbsent).
		Permit(TriggerCommit, StateIntent)
	lifecycle.Configure(StateRefused).
		Permit(TriggerCommit, StateIntent)
	lifecycle.Configure(StateIntent).
		PermitReentry(TriggerReplace).
		Permit(TriggerFinish, StateDone).
		Permit(TriggerRefuse, StateRefused).
		Permit(TriggerLose, StateUnknown)
	lifecycle.Configure(StateUnknown).
		PermitReentry(TriggerLose).
		Permit(TriggerFinish, StateDone).
		Permit(TriggerRefuse, StateRefused).
		Permit(TriggerResend, StateIntent)
	lifecycle.Configure(StateDone)
	return lifecycle
}

// newTransitions returns the next state for each permitted trigger in each state.
func newTransitions() map[transitionKey]State {
	table := map[transitionKey]State{}
	for _, state := range states {
		for _, trigger := range triggers {
			lifecycle := machine(state)
			if permitted, err := lifecycle.CanFire(trigger); err != nil || !permitted {
				continue
			}
			if lifecycle.Fire(trigger) == nil {
				table[transitionKey{state, trigger}] = lifecycle.MustState().(State)
			}
		}
	}
	return table
}
