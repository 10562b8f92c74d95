package kv

import "time"

// Faults says how the service misbehaves.
type Faults struct {
	// LoseAnswers is how many of the next writes take effect but close the connection unanswered.
	LoseAnswers int
	// Delay is added before each call is served.
	Delay time.Duration
	// AnswerDelay is added after each write, before it is answered.
	AnswerDelay time.Duration
	// Out makes every call fail as unavailable, and ends watches.
	Out bool
	// DuplicateEvents makes watches send each message twice.
	DuplicateEvents bool
	// ReadLag is how many revisions reads that name no revision lie behind.
	ReadLag int64
}

// WithLostAnswers returns the faults in which the next count writes go unanswered.
func (faults Faults) WithLostAnswers(count int) Faults {
	faults.LoseAnswers = count
	return faults
}

// WithDelay returns the faults in which each call is served later.
func (faults Faults) WithDelay(delay time.Duration) Faults {
	faults.Delay = delay
	return faults
}

// WithOut returns the faults in which the service is out, or is not.
func (faults Faults) WithOut(out bool) Faults {
	faults.Out = out
	return faults
}

// WithDuplicateEvents returns the faults in which watches send each message twice, or do not.
func (faults Faults) WithDuplicateEvents(duplicate bool) Faults {
	faults.DuplicateEvents = duplicate
	return faults
}

// WithReadLag returns the faults in which reads lie behind by a number of revisions.
func (faults Faults) WithReadLag(revisions int64) Faults {
	faults.ReadLag = revisions
	return faults
}

// failure is an answer that is an error, in the terms of the protocol.
type failure struct {
	httpStatus int
	code       int
	message    string
}

var (
	errMalformed = &failure{httpStatus: 400, code: 3, message: "etcdserver: malformed request"}
	errTooLarge  = &failure{httpStatus: 400, code: 3, message: "etcdserver: request is too large"}
	errNoLease   = &failure{httpStatus: 404, code: 5, message: "etcdserver: requested lease not found"}
	errCompacted = &failure{httpStatus: 400, code: 11, message: "etcdserver: mvcc: required revision has been compacted"}
	errOut       = &failure{httpStatus: 503, code: 14, message: "etcdserver: request timed out"}
)
