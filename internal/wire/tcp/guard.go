package tcp

import (
	"cmp"
	"math"
	"net"
	"runtime"
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
	// defaultBytes is the bound of the memory that clients make a process hold, in bytes, where the settings contain no limit.
	defaultBytes = 256 << 20
	// smallHead is the memory in bytes up to which heads are taken whatever garbage there is.
	smallHead = 24 << 10
	// garbageShare is the memory of large heads that have ended and that the runtime has not collected yet, as a fraction of the bound, in
	// addition to the bound.
	garbageShare = 0.25
	// ownShare is what one connection may hold, as a fraction of the bound. Without it, one large request would close all others, and the
	// bodies that are closed for others would be garbage that nothing counts.
	ownShare = 0.25
	// collectInterval is the shortest time between two collections that large heads ask for.
	collectInterval = time.Second
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
	limits    *rcu.Cell[intake.Limits]
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
	// ended receives a value when lingering falls.
	ended chan struct{}
	// garbage is the memory of large heads that have ended and that the runtime has not collected yet. Without it, clients that connect
	// again and again would fill the memory faster than the runtime collects it.
	garbage     atomic.Int64
	collectedAt atomic.Int64 // in nanoseconds since startedAt
	connections sync.Map     // the open connections, each a *Conn
	closing     sync.Mutex
	startedAt   time.Time
}

// NewGuard returns a guard with the default limits, which records nothing. The function headLimit returns the largest size of the fields of
// a head in bytes, 0 for 64 KiB; it is nil if the protocol of the listener has no heads of HTTP/1. The server must report the states of its
// connections to [ConnState].
func NewGuard(headLimit func() int) *Guard {
	guard := &Guard{limits: rcu.New(intake.Limits{}), headLimit: headLimit, connectionBytes: connectionCost, recorder: noRecorder{}, ended: make(chan struct{}, 1), startedAt: time.Now()}
	guard.SetLimits(intake.Limits{})
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

// noRecorder records nothing.
type noRecorder struct{}

// RecordClosed implements [Recorder].
func (noRecorder) RecordClosed(Reason) {}

// RecordTo sets the recorder. It must be called before connections are accepted.
func (guard *Guard) RecordTo(recorder Recorder) { guard.recorder = recorder }

// SetLimits sets the limits; a limit of 0 is 256 MiB for the memory, and none for the descriptors.
func (guard *Guard) SetLimits(limits intake.Limits) {
	limits.Bytes = cmp.Or(limits.Bytes, defaultBytes)
	limits.Descriptors = cmp.Or(limits.Descriptors, math.MaxInt64)
	guard.limits.Store(limits)
}

// Held returns what the connections hold.
func (guard *Guard) Held() (bytes, descriptors int64) {
	return guard.bytes.Load(), guard.descriptors.Load()
}

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
// work on closed ones. Only the listener calls it.
func (guard *Guard) hasRoom() bool {
	if guard.framesRequests() {
		return !guard.hasGarbage()
	}
	if !guard.exceedsBoundWith(guard.lingering.Load()) {
		return true
	}
	timer := time.NewTimer(lingeringWait)
	defer timer.Stop()
	for guard.exceedsBoundWith(guard.lingering.Load()) {
		select {
		case <-guard.ended:
		case <-timer.C:
			return false
		}
	}
	return true
}

// exceedsBoundWith reports whether what the connections hold exceeds the bound with garbageShare, together with some bytes of what has ended.
func (guard *Guard) exceedsBoundWith(ended int64) bool {
	limit := guard.limits.Load().Bytes
	return ended > 0 && guard.bytes.Load()+ended > limit+int64(float64(limit)*garbageShare)
}

// add adds to what a connection holds, and reports whether there is room for it. Connections that have waited longer are closed to make
// room. Without room, nothing is added.
func (guard *Guard) add(conn *Conn, bytes, descriptors int64) bool {
	if !conn.addHeld(bytes, descriptors) {
		return false
	}
	isLarge := bytes > 0 && conn.bytes.Load() > int64(ownShare*float64(guard.limits.Load().Bytes))
	if !isLarge && (!guard.exceeded() || guard.makeRoom(conn)) {
		return true
	}
	conn.giveBack(bytes, descriptors)
	return false
}

// hasGarbage reports whether the garbage of large heads leaves no room for another one, and sees to it that it is collected.
func (guard *Guard) hasGarbage() bool {
	if !guard.exceedsBoundWith(guard.garbage.Load()) {
		return false
	}
	now, last := int64(time.Since(guard.startedAt)), guard.collectedAt.Load()
	if now-last >= int64(collectInterval) && guard.collectedAt.CompareAndSwap(last, now) {
		go runtime.GC()
	}
	return true
}

// countGarbage counts the memory of a head that has ended as garbage until the runtime has collected owner, which is reachable as long as the
// head is.
func countGarbage[T any](guard *Guard, owner *T, size int64) {
	if size <= smallHead {
		return
	}
	guard.garbage.Add(size)
	runtime.AddCleanup(owner, func(size int64) { guard.garbage.Add(-size) }, size)
}

// countRequestGarbage counts the memory of a request that has ended as garbage until the next collection, since nothing refers to the owner.
func (guard *Guard) countRequestGarbage(size int64) { countGarbage(guard, new(connState), size) }

// exceeded reports whether the connections hold more than a limit.
func (guard *Guard) exceeded() bool {
	limits := guard.limits.Load()
	return guard.bytes.Load() > limits.Bytes || guard.descriptors.Load() > limits.Descriptors
}

// makeRoom closes connections other than conn until the limits are kept, and reports whether they are. It closes none if that is not enough.
func (guard *Guard) makeRoom(conn *Conn) bool {
	guard.closing.Lock()
	defer guard.closing.Unlock()
	if !guard.exceeded() {
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
	limits := guard.limits.Load()
	excess := intake.Excess{Bytes: guard.bytes.Load() - limits.Bytes, Descriptors: guard.descriptors.Load() - limits.Descriptors}
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
