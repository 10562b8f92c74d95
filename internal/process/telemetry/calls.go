package telemetry

import (
	"errors"

	"github.com/rs/zerolog"

	"github.com/rosemaryspar/rosemaryspar/internal/core/fault"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// CallLog writes one line of at most some 30 KB for each opaque call that ended, with the decisions made for it.
type CallLog struct {
	logger zerolog.Logger
}

// NewCallLog returns a recorder that writes to logger.
func NewCallLog(logger zerolog.Logger) CallLog { return CallLog{logger: logger} }

// Record writes the line for a call that ended.
func (log CallLog) Record(result request.Result) {
	exchange := result.Exchange
	event := log.logger.Info()
	if result.Err != nil {
		event = withFailure(log.logger.Warn().Str(zerolog.ErrorFieldName, boundedText(result.Err.Error(), maxDetailBytes)), result.Err)
	}
	event.Str("RequestID", boundedText(exchange.Request.ID, maxNameBytes)).
		Str("Account", exchange.ClientAccount.Name).
		Str("Route", exchange.Route.Name).
		Str("Server", exchange.Target.ID).
		Int64("ConfigVersion", exchange.View.Routes.Version()).
		Int64("ConfigAgeMs", exchange.View.Age.Milliseconds()).
		Int64("ServersRevision", exchange.View.Servers.Revision()).
		Strs("Decisions", decisionTexts(exchange.Decisions)).
		Str("Outcome", Outcome(result.Err)).
		Float64("FirstByteMs", milliseconds(result.TimeToFirstToken)).
		Float64("LongestGapMs", milliseconds(result.LongestGap)).
		Float64("WholeMs", milliseconds(result.Duration)).
		Msg("call ended")
}

// withFailure adds the step, the peer, the reason or cause, and whether the call ran, of those that the error of a call has.
func withFailure(event *zerolog.Event, err error) *zerolog.Event {
	step, peer, reason, ran := fault.Step(err), fault.Peer(err), "", call.Ran("")
	var refusal *call.Refusal
	var failure *call.Failure
	switch {
	case errors.As(err, &refusal):
		step, reason, ran = refusal.Step, string(refusal.Reason), call.RanNo
	case errors.As(err, &failure):
		step, peer, reason, ran = failure.Step, failure.Peer, string(failure.Cause), failure.Ran
	}
	for _, field := range []struct{ name, value string }{{"Step", step}, {"Peer", peer}, {"Reason", reason}, {"Ran", string(ran)}} {
		if field.value != "" {
			event = event.Str(field.name, boundedText(field.value, maxNameBytes))
		}
	}
	return event
}
