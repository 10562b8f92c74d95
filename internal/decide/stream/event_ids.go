package stream

import "strconv"

// EventIDs holds the id of the last event of an answer, and checks that the ids rise. It is immutable; the zero value is an
// answer without events.
type EventIDs struct {
	last string
}

// ResumeAfter returns the ids of an answer that continues after the event with an id, empty for its beginning.
func ResumeAfter(id string) EventIDs { return EventIDs{last: id} }

// Last returns the id of the last event, empty for none.
func (eventIDs EventIDs) Last() string { return eventIDs.last }

// With returns the ids after a further event, and false if the answer cannot have an event with that id next: ids are numbers that
// rise. After an id that is no number, which only a caller that resumes an answer sends, any number may follow.
func (eventIDs EventIDs) With(id string) (EventIDs, bool) {
	number, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return eventIDs, false
	}
	last, err := strconv.ParseUint(eventIDs.last, 10, 64)
	if err == nil && number <= last {
		return eventIDs, false
	}
	return EventIDs{last: id}, true
}
