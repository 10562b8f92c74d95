package tcp

import (
	"io"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/intake"
)

// readRequest is Read for a server that does not tell the phases of its requests. A request that is too large, or for which there is no room,
// is refused before the server has the whole of it.
func (conn *Conn) readRequest(buffer []byte) (int, error) {
	if conn.state.Load().phase == intake.PhaseCall {
		conn.endRequests()
	}
	count, err := conn.TCPConn.Read(buffer)
	if count == 0 {
		return count, err
	}
	if conn.state.Load().phase == intake.PhaseIdle {
		conn.setPhase(intake.PhaseHead)
	}
	if refusal := conn.addRequestPiece(buffer[:count]); refusal != "" {
		conn.refuse(refusal)
		return 0, io.EOF
	}
	return count, err
}

// addRequestPiece counts a further piece of requests, and returns the refusal if it cannot be taken.
func (conn *Conn) addRequestPiece(piece []byte) (refusal string) {
	for len(piece) > 0 {
		var isWhole bool
		var fault intake.Fault
		conn.request, piece, isWhole, fault = conn.request.WithBytes(piece, conn.guard.requests)
		switch fault {
		case intake.FaultNone:
		case intake.FaultTooLarge:
			conn.guard.recorder.RecordClosed(Reason(fault))
			return tooLarge
		default:
			conn.guard.recorder.RecordClosed(Reason(fault))
			return malformed
		}
		memory := conn.request.Memory()
		added := memory - conn.headBytes.Load()
		if memory > smallHead && conn.guard.hasGarbage() || !conn.guard.add(conn, added, 0) {
			conn.guard.recorder.RecordClosed(ReasonNoRoom)
			return unavailable
		}
		conn.headBytes.Add(added)
		if !isWhole {
			continue
		}
		// What the whole request holds stays counted until the server reads again.
		conn.request = intake.Request{}
		conn.headBytes.Store(0)
		if conn.state.Load().phase != intake.PhaseCall && !conn.BeginCall() {
			return unavailable
		}
	}
	return ""
}

// endRequests gives back what the answered requests held. Of the next one, a part may have arrived.
func (conn *Conn) endRequests() {
	next := conn.headBytes.Load()
	held := conn.bytes.Load() - conn.guard.connectionBytes - next
	conn.giveBack(held, conn.descriptors.Load()-1)
	countGarbage(conn.guard, new(connState), held-callCost)
	phase := intake.PhaseIdle
	if next > 0 {
		phase = intake.PhaseHead
	}
	conn.setPhase(phase)
}
