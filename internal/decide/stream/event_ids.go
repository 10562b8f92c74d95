package stream

import "strconv"

// EventIDs holds the id of the last event of an answer, which may come from several servers. It checks that the ids rise, and whether
// the answer can end after that event. It is immutable; the zero value is an answer without events.
type EventIDs struct {
	last string
	// hasNext reports whether a server broke off inside the event after last, so that there is one.
	hasNext bool
	// closed reports whether a server closed its connection without an event after last.
	closed bool
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

// WithTruncatedEvent returns the ids after a server broke off inside the next event.
func (eventIDs EventIDs) WithTruncatedEvent() EventIDs {
	eventIDs.hasNext = true
	return eventIDs
}

// WithEnd returns the ids after a server ended its part of the answer without a further event, and whether the answer is complete. Framed
// reports whether a length or chunks ended that part; otherwise only the end of its connection did.
//
// A server that closed its connection may have broken off before its first event. A second one that agrees is taken for proof, since an
// answer all of whose events have arrived could not end otherwise. No answer ends where another server had begun the next event, and
// an answer without any event is none: a faulty server that writes the end of the chunks behind its head has not answered.
func (eventIDs EventIDs) WithEnd(framed bool) (EventIDs, bool) {
	complete := !eventIDs.hasNext && eventIDs.last != "" && (framed || eventIDs.closed)
	eventIDs.closed = eventIDs.closed || !framed
	return eventIDs, complete
}
