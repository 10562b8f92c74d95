package tcp

import (
	"cmp"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/intake"
)

const (
	// connectionCost is the memory of a connection and of its goroutine, in bytes, and callCost what a call in progress takes in addition,
	// for the buffers of its answer.
	connectionCost = 24 << 10
	callCost       = 96 << 10
	// streamConnectionCost is the memory of a connection of HTTP/2 in bytes, with a buffer for a frame, the tables of heads and three goroutines.
	streamConnectionCost = 48 << 10
	// streamIdleTimeout closes connections of HTTP/2 without streams. It is longer than that of clients, so that they never send on a closing
	// connection.
	streamIdleTimeout = 30 * time.Second
	// defaultBytes is the bound of the memory that clients make a process hold, in bytes, where the settings contain no limit.
	defaultBytes = 256 << 20
	// lingeringWait is how long a new connection waits until the server has ended its work on closed ones.
	lingeringWait = 200 * time.Millisecond
	// defaultHeadBytes bounds the fields of a head in bytes until a configuration has been received.
	defaultHeadBytes = 64 << 10
)

// Reason is why a connection of a client was closed or its request refused.
type Reason string

// The reasons in addition to the faults of [intake.Fault].
const (
	ReasonPressure Reason = "Pressure"
	ReasonNoRoom   Reason = "NoRoom"
)

// Recorder records the connections that a [Guard] closes and the requests that it refuses.
type Recorder interface {
	// RecordClosed processes one of them without blocking.
	RecordClosed(reason Reason)
}

// Guard bounds what the clients of a listener make the process hold.
//
// The totals are atomic. Only a connection that exceeds a limit takes the lock, and closes others, or is refused.
type Guard struct {
	limits *rcu.Cell[intake.Limits]
	// headLimit is nil for HTTP/2.
	headLimit func() int
	// requests are the limits of whole requests, for servers that do not tell the phases of their requests; zero for others.
	requests intake.RequestLimits
	// connectionBytes is the memory of a connection in bytes.
	connectionBytes int64
	recorder        Recorder
	bytes           atomic.Int64
	descriptors     atomic.Int64
	// lingering is the memory of connections that are closed and whose server has not ended its work on them. A server reads and answers on
	// for some time until it notices.
	lingering atomic.Int64
	// lingeringFell receives a value when lingering falls.
	lingeringFell chan struct{}
	garbage       garbage
	// bodies is the part of bytes that is held for bodies, and bodyLimit its bound.
	bodies      atomic.Int64
	bodyLimit   atomic.Int64
	connections sync.Map // the open connections, each a *Conn
	closing     sync.Mutex
	startedAt   time.Time
}

// NewGuard returns a guard with the default limits, which records nothing. The function headLimit returns the largest size of the fields of
// a head in bytes, 0 for 64 KiB. The server must report the states of its connections to [ConnState].
func NewGuard(headLimit func() int) *Guard {
	guard := &Guard{
		limits:          rcu.New(intake.Limits{}),
		headLimit:       headLimit,
		connectionBytes: connectionCost,
		recorder:        noRecorder{},
		lingeringFell:   make(chan struct{}, 1),
		startedAt:       time.Now(),
	}
	guard.SetLimits(intake.Limits{})
	return guard
}

// NewStreamGuard returns a guard like [NewGuard] for a listener of HTTP/2, whose server bounds the heads and counts the bodies of the streams.
// It closes connections that have been silent and without streams for 30 s; the server must not.
func NewStreamGuard() *Guard {
	guard := NewGuard(nil)
	guard.connectionBytes = streamConnectionCost
	return guard
}

// NewRequestGuard returns a guard like [NewGuard], for a server that buffers whole requests and does not tell their phases. They follow from
// what is read: a request has ended when the server reads again. The server has a buffer of some bytes for each connection.
func NewRequestGuard(limits intake.RequestLimits, buffer int64) *Guard {
	guard := NewGuard(func() int { return int(limits.Head) })
	guard.requests, guard.connectionBytes = limits, connectionCost+buffer
	return guard
}

// framesRequests reports whether the guard finds the ends of requests in what is read, as one of [NewRequestGuard] does.
func (guard *Guard) framesRequests() bool { return guard.requests != (intake.RequestLimits{}) }

// multiplexes reports whether a connection has several requests at once, as one of [NewStreamGuard] does.
func (guard *Guard) multiplexes() bool { return guard.headLimit == nil }

// noRecorder records nothing.
type noRecorder struct{}

// RecordClosed implements [Recorder].
func (noRecorder) RecordClosed(Reason) {}

// RecordTo sets the recorder. It must be called before connections are accepted.
func (guard *Guard) RecordTo(recorder Recorder) { guard.recorder = recorder }

// SetLimits sets the limits; a limit of 0 is 256 MiB for the memory, of which bodies may have 64 MiB, and none for the descriptors.
func (guard *Guard) SetLimits(limits intake.Limits) {
	guard.bodyLimit.Store(cmp.Or(limits.Bytes, defaultBodyBytes))
	limits.Bytes = cmp.Or(limits.Bytes, defaultBytes)
	limits.Descriptors = cmp.Or(limits.Descriptors, math.MaxInt64)
	guard.limits.Store(limits)
}

// Held returns what the connections hold.
func (guard *Guard) Held() (bytes, descriptors int64) {
	return guard.bytes.Load(), guard.descriptors.Load()
}

// Ended returns the memory in bytes of connections and large requests that have ended and that is not free yet.
func (guard *Guard) Ended() int64 { return guard.lingering.Load() + guard.garbage.bytes.Load() }

// maxHeadBytes returns the limit of the fields of a head.
func (guard *Guard) maxHeadBytes() int64 { return int64(cmp.Or(guard.headLimit(), defaultHeadBytes)) }

// admit returns the connection that counts what an accepted one holds, or closes it and returns nil if there is no room.
func (guard *Guard) admit(accepted *net.TCPConn) *Conn {
	conn := newConn(accepted, guard)
	if !guard.hasRoom() || !guard.add(conn, guard.connectionBytes, 1) {
		guard.recorder.RecordClosed(ReasonNoRoom)
		_ = conn.Close()
		conn.endLingering()
		return nil
	}
	guard.connections.Store(conn, nil)
	return conn
}

// hasRoom reports whether what has ended or is closed leaves room for one more connection. It waits a little until servers have ended their
// work on closed ones, and where each connection has a buffer of its own, for a collection that may begin at once. Only the listener calls it.
func (guard *Guard) hasRoom() bool {
	if guard.framesRequests() {
		return !guard.hasGarbage() || guard.garbage.isDue() && guard.awaitCollection(nil, connectionCollectWait)
	}
	if !guard.exceededBy(guard.lingering.Load()) {
		return true
	}
	timer := time.NewTimer(lingeringWait)
	defer timer.Stop()
	for guard.exceededBy(guard.lingering.Load()) {
		select {
		case <-guard.lingeringFell:
		case <-timer.C:
			return false
		}
	}
	return true
}

// add adds to what a connection holds, and reports whether there is room for it. Connections that have waited longer are closed to make
// room. Without room, nothing is added.
func (guard *Guard) add(conn *Conn, bytes, descriptors int64) bool {
	if !conn.addHeld(bytes, descriptors) {
		return false
	}
	excess := guard.excess()
	if excess.IsZero() || guard.limits.Load().MayDisplace(conn.bytes.Load(), excess) && guard.makeRoom(conn) {
		return true
	}
	conn.giveBack(bytes, descriptors)
	return false
}

// excess returns what the connections hold above the limits.
func (guard *Guard) excess() intake.Excess { return guard.limits.Load().Excess(guard.Held()) }

// makeRoom closes connections other than conn until the limits are kept, and reports whether they are. It closes none if that is not enough.
func (guard *Guard) makeRoom(conn *Conn) bool {
	guard.closing.Lock()
	defer guard.closing.Unlock()
	excess := guard.excess()
	if excess.IsZero() {
		return true
	}
	var candidates []*Conn
	var holdings []intake.Holding
	guard.connections.Range(func(key, _ any) bool {
		if other, ok := key.(*Conn); ok && other != conn {
			candidates, holdings = append(candidates, other), append(holdings, other.holding())
		}
		return true
	})
	victims, enough := intake.Victims(holdings, excess)
	if !enough {
		return false
	}
	for _, victim := range victims {
		if candidates[victim].closeBeforeCall() {
			guard.recorder.RecordClosed(ReasonPressure)
		}
	}
	return true
}
