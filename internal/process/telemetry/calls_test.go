package telemetry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/core/fault"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
	"github.com/rosemaryspar/rosemaryspar/internal/process/telemetry"
)

// logCall returns the line of a call that ended, and its fields.
func logCall(t *testing.T, result request.Result) (string, map[string]any) {
	t.Helper()
	var output bytes.Buffer
	telemetry.NewCallLog(telemetry.NewLogger(&output, "e1", "info")).Record(result)
	var fields map[string]any
	require.NoError(t, json.Unmarshal(output.Bytes(), &fields), output.String())
	return output.String(), fields
}

// Guards against lines of calls that failed or were refused without the step, the server and the reason as fields of their own.
func TestLineOfACallNamesStepServerAndReason(t *testing.T) {
	cases := []struct {
		name string
		err  error
		want map[string]any
	}{
		{
			"failure", &call.Failure{Ran: call.RanUnknown, Cause: call.CauseReset, Step: "deliver", Peer: "s2"},
			map[string]any{"Step": "deliver", "Peer": "s2", "Reason": "Reset", "Ran": "Unknown"},
		},
		{
			"refusal", call.Refuse(call.ReasonOverLimit, "too much").WithStep("limit"),
			map[string]any{"Step": "limit", "Reason": "OverLimit", "Ran": "NotRun"},
		},
		{"fault", fault.New("read", "10.0.0.1:80", "no answer"), map[string]any{"Step": "read", "Peer": "10.0.0.1:80"}},
		{"another error", errors.New("broken pipe"), map[string]any{}},
		{"answered", nil, map[string]any{}},
	}
	for _, c := range cases {
		_, fields := logCall(t, request.Result{Err: c.err})
		for _, name := range []string{"Step", "Peer", "Reason", "Ran"} {
			assert.Equal(t, c.want[name], fields[name], "%s: %s", c.name, name)
		}
	}
}

// Guards against refusals that do not say which of the filters refused the call.
func TestRefusalHasTheStepOfTheInnermostFilter(t *testing.T) {
	refusing := request.HandlerFunc(func(_ context.Context, exchange request.Exchange) (request.Exchange, error) {
		return exchange, call.Refuse(call.ReasonNoBackend, "none").WithRetryAfter(time.Second)
	})
	_, err := request.Chain(refusing, telemetry.RefusalStep("outer"), telemetry.RefusalStep("inner")).Handle(t.Context(), request.Exchange{})
	var refusal *call.Refusal
	require.ErrorAs(t, err, &refusal)
	assert.Equal(t, call.Refusal{Reason: call.ReasonNoBackend, Detail: "none", Step: "inner", RetryAfter: time.Second}, *refusal)

	failing := request.HandlerFunc(func(_ context.Context, exchange request.Exchange) (request.Exchange, error) {
		return exchange, io.ErrUnexpectedEOF
	})
	_, err = request.Chain(failing, telemetry.RefusalStep("outer")).Handle(t.Context(), request.Exchange{})
	assert.Equal(t, io.ErrUnexpectedEOF, err, "other errors stay as they are")
}
