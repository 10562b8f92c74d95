package telemetry

import (
	"errors"
	"io"
	"time"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/rs/zerolog"

	"github.com/rosemaryspar/rosemaryspar/internal/core/fault"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/handover"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// The field names are global variables of zerolog, so they are set before any goroutine can log.
func init() {
	zerolog.TimestampFieldName = "Time"
	zerolog.LevelFieldName = "Level"
	zerolog.MessageFieldName = "Message"
	zerolog.ErrorFieldName = "Error"
	zerolog.TimeFieldFormat = time.RFC3339Nano
}

// NewLogger returns a logger that writes JSON lines with the name of the entry.
//
// The level is "debug", "info", "warn" or "error"; any other means "info".
func NewLogger(output io.Writer, entry, level string) zerolog.Logger {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		parsed = zerolog.InfoLevel
	}
	return zerolog.New(output).Level(parsed).With().Timestamp().Str("Entry", entry).Logger()
}

// RedirectHertz makes the HTTP library write its warnings and errors as log lines to output.
//
// The setting is global to the library and must not change while a server runs, so a
// program calls RedirectHertz once when it starts.
func RedirectHertz(output io.Writer) {
	hlog.SetLevel(hlog.LevelWarn)
	hlog.SetOutput(zerolog.New(output).With().Timestamp().Str("Library", "hertz").Logger())
}

// RequestLog writes one line for each request that ended.
type RequestLog struct {
	logger zerolog.Logger
}

// NewRequestLog returns a recorder that writes to logger.
func NewRequestLog(logger zerolog.Logger) RequestLog {
	return RequestLog{logger: logger}
}

// Record writes the line for a request that ended.
func (log RequestLog) Record(result request.Result) {
	event := log.logger.Info()
	if result.Err != nil {
		event = log.logger.Warn().Err(result.Err).Str("Step", fault.Step(result.Err)).Str("Peer", fault.Peer(result.Err))
	}
	exchange := result.Exchange
	event.Str("RequestID", exchange.Request.ID).
		Str("Account", exchange.Request.Account).
		Str("Service", exchange.Service.Name).
		Str("Class", string(exchange.Request.Estimate.Class)).
		Str("Server", exchange.Server.Name).
		Strs("Tried", exchange.TriedServers).
		Str("Outcome", Outcome(result.Err)).
		Int("Tokens", result.Tokens).
		Int("Recomputed", exchange.RecomputedTokens).
		Float64("QueueWaitMs", milliseconds(exchange.QueueWait)).
		Float64("FirstTokenMs", milliseconds(result.TimeToFirstToken)).
		Float64("WholeMs", milliseconds(result.Duration)).
		Msg("request ended")
}

// Outcome returns "Answered", "Handover", the reason for a refusal, the cause of a failure, or "Fault" for any
// other error.
func Outcome(err error) string {
	var refusal *call.Refusal
	var failure *call.Failure
	var interruption *handover.Interruption
	switch {
	case err == nil:
		return "Answered"
	case errors.As(err, &interruption):
		return "Handover"
	case errors.As(err, &refusal):
		return string(refusal.Reason)
	case errors.As(err, &failure):
		return string(failure.Cause)
	}
	return "Fault"
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}
