package kv

import "time"

// Faults are the faults that a [Server] injects. The zero value injects none.
type Faults struct {
	// LoseAnswers is how many of the next writes take effect and are then not answered; their connection is closed.
	LoseAnswers int
	// Delay is the time that each call waits before it is served.
	Delay time.Duration
	// AnswerDelay is the time that each write waits between taking effect and being answered.
	AnswerDelay time.Duration
	// Out makes every call fail with gRPC code 14 (unavailable) and HTTP status 503, and ends open watches.
	Out bool
	// DuplicateEvents makes watches send each message that contains events twice.
	DuplicateEvents bool
	// ReadLag is the number of revisions by which a read outside a transaction lags behind the current
	// revision, unless the request specifies a revision.
	ReadLag int64
}

// WithLostAnswers returns the faults with LoseAnswers set to count.
func (faults Faults) WithLostAnswers(count int) Faults {
	faults.LoseAnswers = count
	return faults
}

// WithDelay returns the faults with Delay set to delay.
func (faults Faults) WithDelay(delay time.Duration) Faults {
	faults.Delay = delay
	return faults
}

// WithOut returns the faults in which the service is unavailable, or is available again.
func (faults Faults) WithOut(out bool) Faults {
	faults.Out = out
	return faults
}

// WithDuplicateEvents returns the faults in which watches send their events twice, or once.
func (faults Faults) WithDuplicateEvents(duplicate bool) Faults {
	faults.DuplicateEvents = duplicate
	return faults
}

// WithReadLag returns the faults in which reads lag behind by a number of revisions.
func (faults Faults) WithReadLag(revisions int64) Faults {
	faults.ReadLag = revisions
	return faults
}

// protocolError is an error answer of the JSON gateway: an HTTP status, a gRPC code and a message.
type protocolError struct {
	httpStatus int
	code       int
	message    string
}

var (
	errMalformed   = &protocolError{httpStatus: 400, code: 3, message: "etcdserver: malformed request"}
	errTooLarge    = &protocolError{httpStatus: 400, code: 3, message: "etcdserver: request is too large"}
	errNoLease     = &protocolError{httpStatus: 404, code: 5, message: "etcdserver: requested lease not found"}
	errCompacted   = &protocolError{httpStatus: 400, code: 11, message: "etcdserver: mvcc: required revision has been compacted"}
	errUnavailable = &protocolError{httpStatus: 503, code: 14, message: "etcdserver: request timed out"}
)
