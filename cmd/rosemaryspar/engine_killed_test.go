package main_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/fake/runner"
)

// Guards against an answer that loses or repeats bytes, or lacks its end marker, when its engine is
// killed in the middle of it. The caller must receive the complete answer to its own request.
func TestAnswerIsWholeWhenItsEngineIsKilled(t *testing.T) {
	fleet := newFleet(t, layout{engines: 3})
	const prompt = "checklist tokens=60 "
	streamed := fleet.sendAsync(t, 0, "/v1/completions", completionBody(prompt, true), "")
	awaitRunning(t, fleet.engines, 5).Kill()
	got := <-streamed
	assertOK(t, got)
	text, ended := streamText(t, got.body)
	assert.True(t, ended)
	assert.Equal(t, runner.Text(prompt, 0, 60), text)

	unary := fleet.sendAsync(t, 1, "/v1/completions", completionBody(prompt, false), "")
	awaitRunning(t, fleet.engines, 5).Kill()
	got = <-unary
	assertOK(t, got)
	assert.Equal(t, runner.Text(prompt, 0, 60), answerText(t, got.body))
}
