package tcp

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/intake"
)

const (
	// refusalTime bounds the time in which a client may read the refusal of its head, and refusalBytes what it may send meanwhile, in bytes.
	refusalTime  = 200 * time.Millisecond
	refusalBytes = 256 << 10
	// writeTimeout bounds the time for which a client may leave a piece of an answer unread, and writePiece is the size of a piece in bytes.
	// The server of a guard of [NewRequestGuard] has no such bound of its own.
	writeTimeout = 10 * time.Second
	writePiece   = 64 << 10
	// malformed, unavailable and tooLarge are the refusals of a head that is not whole, whose request has not run.
	malformed   = "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	unavailable = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 1\r\nConnection: close\r\n\r\n"
	tooLarge    = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

// Conn is a connection of a client, which counts what it makes the process hold.
type Conn struct {
	*net.TCPConn
	guard *Guard
	// state is the phase and its beginning.
	state atomic.Pointer[connState]
	// bytes and descriptors are what is held, both 0 after the end of the connection.
	bytes       atomic.Int64
	descriptors atomic.Int64
	// lingering is what was held when the connection was closed, until the server has ended its work on it.
	lingering atomic.Int64
	// closed is closed together with the connection.
	closed    chan struct{}
	closeOnce sync.Once
	closeErr  error
	// requestBytes is the part of bytes that is held by head or request.
	requestBytes atomic.Int64
	// idle closes a connection of HTTP/2 that is idle, nil for others.
	idle *time.Timer
	// head is the part of the head that has arrived, and request that of the whole request for servers that do not tell the phases. Only the
	// reader of the connection uses them.
	head    intake.Head
	request intake.Request
}

// connState is what a connection is doing.
type connState struct {
	phase intake.Phase
	since time.Duration
	// isClosing reports whether the connection is closed or refused without a call. It is never reset.
	isClosing bool
}

func newConn(conn *net.TCPConn, guard *Guard) *Conn {
	created := &Conn{TCPConn: conn, guard: guard, closed: make(chan struct{})}
	created.setPhase(intake.PhaseIdle)
	if guard.multiplexes() {
		created.idle = time.AfterFunc(streamIdleTimeout, created.closeIdle)
	}
	return created
}

// closeIdle closes the connection if it has been silent and without streams for streamIdleTimeout, or looks again later.
func (conn *Conn) closeIdle() {
	remaining := streamIdleTimeout - (time.Since(conn.guard.startedAt) - conn.state.Load().since)
	if conn.bytes.Load() > conn.guard.connectionBytes {
		remaining = streamIdleTimeout
	}
	switch {
	case conn.IsClosed():
	case remaining > 0:
		conn.idle.Reset(remaining)
	default:
		_ = conn.Close()
	}
}

// addHeld counts what the connection holds in addition, and reports whether it is open.
func (conn *Conn) addHeld(bytes, descriptors int64) bool {
	if conn.IsClosed() {
		return false
	}
	conn.bytes.Add(bytes)
	conn.descriptors.Add(descriptors)
	conn.guard.bytes.Add(bytes)
	conn.guard.descriptors.Add(descriptors)
	if conn.IsClosed() {
		conn.giveBackAll()
		return false
	}
	return true
}

// giveBack counts what the connection no longer holds.
func (conn *Conn) giveBack(bytes, descriptors int64) {
	if !conn.IsClosed() {
		_ = conn.addHeld(-bytes, -descriptors)
	}
}

// giveBackAll counts that the connection holds nothing.
func (conn *Conn) giveBackAll() {
	conn.guard.bytes.Add(-conn.bytes.Swap(0))
	conn.guard.descriptors.Add(-conn.descriptors.Swap(0))
}

// holding returns what the connection holds.
func (conn *Conn) holding() intake.Holding {
	state := conn.state.Load()
	return intake.Holding{Phase: state.phase, Since: state.since, Bytes: conn.bytes.Load()}
}

// setPhase records the phase, which begins now, and reports whether it did. The phase of a connection that is being closed stays as it is, so
// that no call begins on it.
func (conn *Conn) setPhase(phase intake.Phase) bool {
	next := &connState{phase: phase, since: time.Since(conn.guard.startedAt)}
	for {
		state := conn.state.Load()
		if state != nil && state.isClosing {
			return false
		}
		if conn.state.CompareAndSwap(state, next) {
			return true
		}
	}
}

// beginClosing records that the connection is closed without a call, and reports whether it still had the state.
func (conn *Conn) beginClosing(state *connState) bool {
	return conn.state.CompareAndSwap(state, &connState{phase: state.phase, since: state.since, isClosing: true})
}

// closeBeforeCall closes the connection unless a call is in progress, and reports whether it did.
func (conn *Conn) closeBeforeCall() bool {
	state := conn.state.Load()
	if state.phase == intake.PhaseCall || state.isClosing || conn.IsClosed() || !conn.beginClosing(state) {
		return false
	}
	_ = conn.Close()
	return true
}

// Close implements [net.Conn].
func (conn *Conn) Close() error {
	conn.closeOnce.Do(func() {
		close(conn.closed)
		if conn.idle != nil {
			conn.idle.Stop()
		}
		conn.closeErr = conn.TCPConn.Close()
		garbage := conn.requestBytes.Swap(0)
		if conn.guard.framesRequests() { // Each connection of these servers has a buffer of its own.
			garbage += conn.guard.connectionBytes
		} else {
			conn.addLingering(conn.bytes.Load() - garbage)
		}
		conn.giveBackAll()
		conn.guard.connections.Delete(conn)
		countGarbage(conn.guard, conn, garbage)
	})
	return conn.closeErr
}

// IsClosed reports whether the connection is closed, so that its client gets no answer. It is false for nil.
func (conn *Conn) IsClosed() bool {
	if conn == nil {
		return false
	}
	select {
	case <-conn.closed:
		return true
	default:
		return false
	}
}

// addLingering counts memory that the closed connection holds until the server has ended its work on it.
func (conn *Conn) addLingering(bytes int64) {
	conn.lingering.Add(bytes)
	conn.guard.lingering.Add(bytes)
}

// endLingering counts that the server has ended its work on the closed connection.
func (conn *Conn) endLingering() {
	conn.guard.lingering.Add(-conn.lingering.Swap(0))
	select {
	case conn.guard.lingeringFell <- struct{}{}:
	default: // The listener has not read the last value, and looks again then.
	}
}

// Read implements [net.Conn]. A request that is too large, or for which there is no room, is refused before the server has the whole of its
// head, and before a server that does not tell the phases of its requests has the whole of it.
func (conn *Conn) Read(buffer []byte) (int, error) {
	if conn.guard.framesRequests() && conn.state.Load().phase == intake.PhaseCall {
		conn.endRequests()
	}
	count, err := conn.TCPConn.Read(buffer)
	if count == 0 {
		return count, err
	}
	if conn.guard.multiplexes() {
		conn.setPhase(intake.PhaseIdle) // The connections that were silent for longest are closed first.
		return count, err
	}
	if conn.state.Load().phase == intake.PhaseIdle {
		conn.setPhase(intake.PhaseHead)
	}
	addPiece := conn.addHeadPiece
	if conn.guard.framesRequests() {
		addPiece = conn.addRequestPiece
	}
	if refusal := addPiece(buffer[:count]); refusal != "" {
		conn.refuse(refusal)
		return 0, io.EOF
	}
	return count, err
}

// Write implements [net.Conn].
func (conn *Conn) Write(buffer []byte) (written int, err error) {
	if !conn.guard.framesRequests() {
		return conn.TCPConn.Write(buffer)
	}
	for err == nil && written < len(buffer) {
		if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return written, err
		}
		var count int
		count, err = conn.TCPConn.Write(buffer[written:min(written+writePiece, len(buffer))])
		written += count
	}
	return written, err
}

// addHeadPiece counts a further piece of a head, and returns the refusal if it cannot be taken.
func (conn *Conn) addHeadPiece(piece []byte) (refusal string) {
	state := conn.state.Load()
	if state.phase != intake.PhaseHead {
		return ""
	}
	var fault intake.Fault
	conn.head, fault = conn.head.WithBytes(piece, conn.guard.maxHeadBytes())
	if fault != intake.FaultNone {
		conn.guard.recorder.RecordClosed(Reason(fault))
		refusal = tooLarge
	} else {
		refusal = conn.holdRequest(conn.head.Memory())
	}
	if refusal != "" && !conn.beginClosing(state) {
		return "" // net/http reads ahead while it passes a request on. That has begun meanwhile, so the piece is not of its head.
	}
	return refusal
}

// holdRequest counts that the part of a request that has arrived takes some bytes of memory, and returns the refusal if there is no room.
func (conn *Conn) holdRequest(memory int64) (refusal string) {
	added := memory - conn.requestBytes.Load()
	if memory > smallRequest && !conn.guard.awaitCollection(conn.closed, requestCollectWait) || !conn.guard.add(conn, added, 0) {
		conn.guard.recorder.RecordClosed(ReasonNoRoom)
		return unavailable
	}
	conn.requestBytes.Add(added)
	return ""
}

// holdOnly gives back what the connection holds apart from itself and some bytes of its next request, and returns how many bytes that was.
func (conn *Conn) holdOnly(next int64) (givenBack int64) {
	givenBack = conn.bytes.Load() - conn.guard.connectionBytes - next
	conn.giveBack(givenBack, conn.descriptors.Load()-1)
	return givenBack
}

// refuse writes a refusal and closes the connection. What the client sends meanwhile is read, since unread bytes reset the connection
// before the client has read the refusal.
func (conn *Conn) refuse(refusal string) {
	_ = conn.SetDeadline(time.Now().Add(refusalTime))
	if _, err := io.WriteString(conn.TCPConn, refusal); err == nil && conn.CloseWrite() == nil {
		_, _ = io.CopyN(io.Discard, conn.TCPConn, refusalBytes)
	}
	_ = conn.Close()
}
