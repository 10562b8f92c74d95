package forward

import (
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/placement"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/route"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/work"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

const (
	// firstCheck is the number of a server's events after which its pace and what the call has left are updated first. Each next update is
	// after twice as many, so that an event costs no more than a comparison.
	firstCheck = 8
	// minPaceEvents is the number of events in a sample of the pace, and stalledTime the time after which fewer are a sample too.
	minPaceEvents = 4
	stalledTime   = time.Second
	// maxReplyShare is the part of the time of a sample in which the caller may have taken pieces of its answer. With more, the sample
	// would show how fast the caller reads: servers wait for callers, and what they sent meanwhile comes at once.
	maxReplyShare = 0.1
)

// callWork follows the work of one call over its attempts. It is used by the goroutine of the call only.
type callWork struct {
	estimates      *Estimates
	observations   *Observations
	clock          Clock
	route, account string
	stream, resume bool
	sketch         work.Sketch
	estimate       work.Estimate
	hint           float64
	// events is the number of events of all attempts.
	events int
	// replyTime is the time in which the caller took the pieces of its answer.
	replyTime time.Duration
	// complete reports whether the latest attempt had a complete answer.
	complete bool
	attemptWork
}

// attemptWork is what is known of the attempt in progress.
type attemptWork struct {
	server directory.Server
	sentAt time.Time
	// leftMs is what the observation of the server has for this call.
	leftMs float64
	// answered reports whether the head of a successful answer has arrived, and headRatio is [work.Call.HeadRatio].
	answered  bool
	headRatio float64
	// pieces is the number of pieces of a successful answer that complete events, with the end of the answer as one more. The first arrived
	// at firstAt, the latest at lastAt.
	pieces          int
	firstAt, lastAt time.Time
	// checkedAt is the time of the event checkedEvents, after which the pace was sampled last.
	checkedAt time.Time
	// firstReplyTime and checkedReplyTime are the replyTime at firstAt and checkedAt.
	firstReplyTime, checkedReplyTime time.Duration
	// attemptEvents is the number of the events of this attempt, firstEvents that of those that came together as the first ones, and nextCheck the
	// one at which the next sample is taken.
	attemptEvents, firstEvents, checkedEvents, nextCheck int
}

// newCallWork returns the work of the call of an exchange.
func newCallWork(dependencies Dependencies, exchange request.Exchange) *callWork {
	opaque := exchange.Request.Opaque
	return &callWork{
		estimates: dependencies.Estimates, observations: dependencies.Observations, clock: dependencies.Clock,
		route: exchange.Route.Name, account: exchange.ClientAccount.Name,
		stream: exchange.Route.Kind == route.KindStream, resume: opaque.ResumeAfter != "",
		sketch:   dependencies.Estimates.Sketch(exchange.Route.Name, exchange.ClientAccount.Name),
		estimate: dependencies.Estimates.Estimate(exchange),
		hint:     float64(opaque.Prompt.LengthHint),
	}
}

// send records that the call was sent to a server with a number of uncached prompt tokens.
func (callWork *callWork) send(server directory.Server, tokens int) {
	callWork.attemptWork = attemptWork{server: server, sentAt: time.Now(), nextCheck: firstCheck, leftMs: callWork.estimate.LeftMs(float64(callWork.events))}
	leftMs := callWork.leftMs
	callWork.observations.Update(server, func(observation placement.Observation) placement.Observation {
		return observation.WithSent(tokens).WithWork(func(server work.Server) work.Server { return server.WithLeft(leftMs) })
	})
}

// answer records the head of a successful answer, which took ratio times as long as expected, and returns the sample of the server's pace.
func (callWork *callWork) answer(ratio float64) float64 {
	callWork.answered, callWork.headRatio = true, ratio
	return callWork.sketch.ReadRatio(ratio)
}

// addPiece records a piece of a successful answer that completes a number of events, or with 0 the end of the answer.
func (callWork *callWork) addPiece(count int) {
	callWork.lastAt = time.Now()
	if callWork.pieces == 0 {
		callWork.firstAt = callWork.lastAt
	}
	callWork.pieces++
	if count == 0 {
		return
	}
	if callWork.attemptEvents == 0 {
		callWork.firstEvents = count
		callWork.checkedAt, callWork.checkedEvents = callWork.firstAt, count
		callWork.firstReplyTime, callWork.checkedReplyTime = callWork.replyTime, callWork.replyTime
	}
	callWork.events += count
	callWork.attemptEvents += count
	if callWork.attemptEvents < callWork.nextCheck {
		return
	}
	for callWork.nextCheck <= callWork.attemptEvents {
		callWork.nextCheck *= 2
	}
	ratio, now := callWork.samplePace(), callWork.clock.Now()
	leftMs := callWork.estimate.LeftMs(float64(callWork.events))
	change := leftMs - callWork.leftMs
	callWork.leftMs = leftMs
	callWork.observations.Update(callWork.server, func(observation placement.Observation) placement.Observation {
		return observation.WithWork(func(server work.Server) work.Server { return server.WithLeft(change).WithDecode(ratio, now) })
	})
}

// samplePace returns the time between the events since the last sample as a multiple of the usual time, 0 if there are too few.
func (callWork *callWork) samplePace() float64 {
	if callWork.attemptEvents == 0 {
		return 0
	}
	elapsed, events := time.Since(callWork.checkedAt), callWork.attemptEvents-callWork.checkedEvents
	if events < minPaceEvents && elapsed < stalledTime {
		return 0
	}
	replyTime := callWork.replyTime - callWork.checkedReplyTime
	callWork.checkedAt, callWork.checkedEvents, callWork.checkedReplyTime = time.Now(), callWork.attemptEvents, callWork.replyTime
	if isCallersPace(replyTime, elapsed) {
		return 0
	}
	return callWork.sketch.DecodeRatio(milliseconds(elapsed) / float64(max(1, events)))
}

// end records the end of the attempt. Complete reports whether the answer is complete.
func (callWork *callWork) end(complete bool) {
	callWork.complete = complete
	ratio, now, leftMs := callWork.samplePace(), callWork.clock.Now(), callWork.leftMs
	callWork.observations.Update(callWork.server, func(observation placement.Observation) placement.Observation {
		return observation.WithEnd().WithWork(func(server work.Server) work.Server { return server.WithLeft(-leftMs).WithDecode(ratio, now) })
	})
}

// record adds the call to the estimates, after its last attempt.
func (callWork *callWork) record() {
	if call, ok := callWork.observedCall(); ok {
		callWork.estimates.record(callWork.route, callWork.account, call)
		if callWork.complete && call.Amount > 0 {
			callWork.estimates.recordError(callWork.route, callWork.estimate, call.Amount)
		}
	}
}

// observedCall returns what is known of the call after its last attempt, or false if that says nothing.
//
// A stream that was cut off, mostly at its deadline, is expected to have had as much left as others with as many events: without these,
// the calls of a route would seem short just because the long ones do not end.
func (callWork *callWork) observedCall() (work.Call, bool) {
	if !callWork.answered {
		return work.Call{}, false
	}
	call := work.Call{HeadRatio: callWork.headRatio, Hint: callWork.hint}
	if !callWork.stream {
		if callWork.complete {
			call.Amount, call.UnitMs = milliseconds(time.Since(callWork.sentAt)-callWork.replyTime), 1
		}
		return call, callWork.complete
	}
	elapsed := callWork.checkedAt.Sub(callWork.firstAt)
	if callWork.attemptEvents >= minPaceEvents && !isCallersPace(callWork.checkedReplyTime-callWork.firstReplyTime, elapsed) {
		call.UnitMs = milliseconds(elapsed) / float64(max(1, callWork.checkedEvents-callWork.firstEvents))
	}
	if !callWork.resume && callWork.events > 0 {
		call.Amount = float64(callWork.events)
		if !callWork.complete {
			call.Amount += callWork.estimate.Left(call.Amount)
		}
	}
	return call, true
}

// isCallersPace reports whether the caller decided the pace of events for a time.
func isCallersPace(replyTime, elapsed time.Duration) bool {
	return float64(replyTime) > maxReplyShare*float64(elapsed)
}

// timedReply is the reply of a call, which counts the time in which the caller takes the pieces of its answer.
type timedReply struct {
	request.Reply
	callWork *callWork
}

// Write implements [request.Reply].
func (timedReply timedReply) Write(piece []byte) error {
	startedAt := time.Now()
	err := timedReply.Reply.Write(piece)
	timedReply.callWork.replyTime += time.Since(startedAt)
	return err
}

// milliseconds returns a time in milliseconds.
func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}
