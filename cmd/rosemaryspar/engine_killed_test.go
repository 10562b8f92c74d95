package main_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/fake/runner"
)

// Guards P2 when an engine is killed in the middle of an answer: no byte is lost or doubled, and the end is marked.
func TestAnswerIsWholeWhenItsEngineIsKilled(t *testing.T) {
	fleet := newFleet(t, layout{engines: 3})
	const prompt = "checklist tokens=60 "
	streamed := fleet.later(t, 0, "/v1/completions", draft(prompt, true), "")
	awaitRunning(t, fleet.engines, 5).Kill()
	got := <-streamed
	assertOK(t, got)
	text, ended := streamText(t, got.body)
	assert.True(t, ended)
	assert.Equal(t, runner.Text(prompt, 0, 60), text)

	whole := fleet.later(t, 1, "/v1/completions", draft(prompt, false), "")
	awaitRunning(t, fleet.engines, 5).Kill()
	got = <-whole
	assertOK(t, got)
	assert.Equal(t, runner.Text(prompt, 0, 60), wholeText(t, got.body))
}
