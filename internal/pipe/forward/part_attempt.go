package forward

import (
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// PartAttempt records what one attempt of a call shows about the parts of its prompt. It is used by the goroutine of the call only.
type PartAttempt struct {
	crashes  *PartCrashes
	exchange request.Exchange
	// begunAt is when the first whole event of the answer arrived, zero before.
	begunAt time.Time
	// sound reports that the answer has ended or lasted for soundAnswerTime, so that a crash later on has another cause.
	sound bool
}

// NewAttempt returns the record of an attempt at the target of an exchange.
func (crashes *PartCrashes) NewAttempt(exchange request.Exchange) *PartAttempt {
	return &PartAttempt{crashes: crashes, exchange: exchange}
}

// RecordEvents records that whole events of a successful answer have arrived.
func (attempt *PartAttempt) RecordEvents() {
	if attempt.begunAt.IsZero() {
		attempt.begunAt = time.Now()
	}
	if time.Since(attempt.begunAt) >= soundAnswerTime {
		attempt.recordSound()
	}
}

// RecordEnd records that a successful answer has ended whole. One without events began when it ended.
func (attempt *PartAttempt) RecordEnd() {
	if attempt.begunAt.IsZero() {
		attempt.begunAt = time.Now()
	}
	attempt.recordSound()
}

// recordSound records once that the parts did not crash the server.
func (attempt *PartAttempt) recordSound() {
	if !attempt.sound {
		attempt.sound = true
		attempt.crashes.RecordAnswer(attempt.exchange.Request.Opaque.Prompt, attempt.begunAt)
	}
}

// RecordReset records that the connection broke while the server may have run the call.
func (attempt *PartAttempt) RecordReset() {
	if !attempt.sound {
		attempt.crashes.RecordCrash(attempt.exchange)
	}
}
