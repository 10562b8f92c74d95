package telemetry_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/core/fault"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/forward"
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

// Guards against bytes of a server that break the JSON of a line or add a line, that flood the log, and that hide the server or
// the event after which they came.
func TestHostileBytesNeitherBreakNorFloodTheLine(t *testing.T) {
	const maxLineBytes = 32 << 10 // with 4,096 lines in the buffer of the log, 128 MiB
	hostile := map[string]string{
		"control characters": strings.Repeat("\x00\x1b[2J\r\n", 20_000),
		"no UTF-8":           strings.Repeat("\xff\xfe\xc3", 50_000),
		"quotes":             strings.Repeat(`"\`, 50_000),
		"an object":          strings.Repeat(`"}`+"\n"+`{"RequestID":"r1","Outcome":"Answered"}`, 2_000),
		"separators":         strings.Repeat("\u2028\u202e\ufffd", 10_000),
		"letters":            strings.Repeat("é", 50_000),
	}
	for name, sent := range hostile {
		for _, count := range []int{1, 5, 200} {
			exchange := request.Exchange{Request: call.Request{ID: "r1"}}
			for number := range count {
				exchange = exchange.WithDecision(request.Decision{
					Step: "deliver", Reason: "MalformedUnknown", Peer: fmt.Sprint("s", number), Detail: "it sent " + sent + ` after event "7"`,
				})
			}
			failure := &call.Failure{Ran: call.RanUnknown, Cause: call.CauseMalformed, Step: "deliver", Peer: "s1", Detail: sent + ` after event "7"`}
			line, fields := logCall(t, request.Result{Exchange: exchange, Err: failure})
			assert.Less(t, len(line), maxLineBytes, "%s, %d decisions", name, count)
			assert.Equal(t, 1, strings.Count(line, "\n"), name)
			assert.True(t, utf8.ValidString(line), name)
			assert.NotContains(t, line, "\ufffd", name)
			assert.NotContains(t, strings.ReplaceAll(line, `\\`, ""), `\u`, "%s: escapes of JSON take six bytes", name)
			decisions := fields["Decisions"].([]any)
			assert.True(t, strings.HasPrefix(decisions[0].(string), "deliver MalformedUnknown s0 it sent "), name)
			last := decisions[len(decisions)-1].(string)
			assert.True(t, strings.HasPrefix(last, fmt.Sprintf("deliver MalformedUnknown s%d it sent ", count-1)), name)
			assert.True(t, strings.HasSuffix(last, `after event "7"`), name)
			assert.True(t, strings.HasSuffix(fields["Error"].(string), `after event "7"`), name)

			found, err := telemetry.FindLoggedCalls(strings.NewReader(line), "r1")
			require.NoError(t, err)
			require.Len(t, found, 1, name)
			var explained bytes.Buffer
			found[0].Explain(&explained)
			assert.Contains(t, explained.String(), "s0 failed (Malformed); the server may have run the call", name)
			assert.Equal(t, count > 32, strings.Contains(explained.String(), "log LeftOut 168 decisions"), name)
		}
	}
	id := strings.Repeat("x", 100_000)
	named := request.Exchange{Request: call.Request{ID: id}}
	for range 200 {
		named = named.WithDecision(request.Decision{Step: "deliver", Reason: "MalformedUnknown", Peer: strings.Repeat(`"`, 1000), Detail: strings.Repeat(`"`, 1000)})
	}
	long, _ := logCall(t, request.Result{Exchange: named, Err: &call.Failure{Step: "deliver", Peer: strings.Repeat(`"`, 1000), Detail: id}})
	assert.Less(t, len(long), maxLineBytes, "long names of servers")
	line, _ := logCall(t, request.Result{Exchange: request.Exchange{Request: call.Request{ID: id}}})
	assert.Less(t, len(line), maxLineBytes)
	found, err := telemetry.FindLoggedCalls(strings.NewReader(line), id)
	require.NoError(t, err)
	assert.Len(t, found, 1, "a call with a long id is found")
}

// Guards against an explanation from which on-call cannot read which server failed, after which event the stream was resumed and
// where, and what the caller got in the end.
func TestExplanationTellsWhatTheEntryDidAfterAFailure(t *testing.T) {
	exchange := request.Exchange{Request: call.Request{ID: "r1"}}
	for _, decision := range []request.Decision{
		{Step: "limit", Reason: "Within", Detail: "size 1"},
		{Step: "deliver", Reason: "Home", Peer: "s1"},
		{Step: "deliver", Reason: "MalformedUnknown", Peer: "s1", Detail: `it sent "\x8f"`},
		{Step: "deliver", Reason: "Garbling", Peer: "s2"},
		{Step: "deliver", Reason: forward.ReasonResumed, Peer: "s2", Detail: `after event "7"`},
		{Step: "send", Reason: "ResetUnknown", Peer: "s2", Detail: "EOF"},
		{Step: "deliver", Reason: forward.ReasonBudgetSpent, Detail: "engines"},
		{Step: "deliver", Reason: forward.ReasonBrokenOff, Peer: "s2", Detail: `after event "7"`},
	} {
		exchange = exchange.WithDecision(decision)
	}
	failure := &call.Failure{Ran: call.RanUnknown, Cause: call.CauseReset, Step: "send", Peer: "s2", Detail: "EOF"}
	line, _ := logCall(t, request.Result{Exchange: exchange, Err: failure})
	found, err := telemetry.FindLoggedCalls(strings.NewReader(line), "r1")
	require.NoError(t, err)
	var explained bytes.Buffer
	found[0].Explain(&explained)
	const want = `
  limit Within size 1
  deliver Home s1
    sent to s1, the preferred server of the prompt
  deliver MalformedUnknown s1 it sent "\x8f"
    s1 failed (Malformed); the server may have run the call
  deliver Garbling s2
    sent to s2, although many of its answers are malformed: those of the others are too, or they are much busier
  deliver Resumed s2 after event "7"
    resumed the stream at s2 after event "7"
  send ResetUnknown s2 EOF
    s2 failed (Reset); the server may have run the call
  deliver BudgetSpent engines
    not sent again, since the retry budget of service engines is spent
  deliver BrokenOff s2 after event "7"
    broke the caller's answer off after event "7"; the caller has its head and the events up to there
  error: send s2: Reset (Unknown): EOF
  step send, server s2, reason Reset
`
	assert.Contains(t, explained.String(), want)
}
