package tcp

import "github.com/rosemaryspar/rosemaryspar/internal/decide/intake"

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
		if refusal := conn.holdRequest(conn.request.Memory()); refusal != "" {
			return refusal
		}
		if !isWhole {
			continue
		}
		// What the whole request holds stays counted until the server reads again.
		conn.request = intake.Request{}
		conn.requestBytes.Store(0)
		if conn.state.Load().phase != intake.PhaseCall && !conn.BeginCall() {
			return unavailable
		}
	}
	return ""
}

// endRequests gives back what the answered requests held. Of the next one, a part may have arrived.
func (conn *Conn) endRequests() {
	next := conn.requestBytes.Load()
	conn.guard.countRequestGarbage(conn.holdOnly(next) - callCost)
	phase := intake.PhaseIdle
	if next > 0 {
		phase = intake.PhaseHead
	}
	conn.setPhase(phase)
}
