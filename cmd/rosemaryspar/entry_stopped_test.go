package main_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/fake/runner"
)

// Guards against a shutdown on SIGTERM that cuts off an accepted request. A stream that
// is open must be completed, requests that arrive before it ends must be answered completely or refused
// as not run, and the process must exit with code 0.
func TestStoppedEntryFinishesWhatItAccepted(t *testing.T) {
	fleet := newFleet(t, layout{})
	entry := fleet.entries[1]
	const prompt = "checklist tokens=80 "
	response, err := fleet.open(t.Context(), 1, "/v1/completions", completionBody(prompt, true), "")
	require.NoError(t, err)
	defer response.Body.Close()
	body := bufio.NewReader(response.Body)
	firstLine, err := body.ReadString('\n')
	require.NoError(t, err)
	signal(t, entry, syscall.SIGTERM)

	violations := make(chan string, 1)
	streamEnded := make(chan struct{})
	go func() {
		defer close(violations)
		fleet.sendUntilStopped(t.Context(), 1, streamEnded, violations)
	}()
	await(t, "the entry becomes unready", func() bool { return operatorStatus(entry, "/readyz") == http.StatusServiceUnavailable })
	remainder, err := io.ReadAll(body)
	close(streamEnded)
	require.NoError(t, err)
	text, ended := streamText(t, append([]byte(firstLine), remainder...))
	assert.True(t, ended)
	assert.Equal(t, runner.Text(prompt, 0, 80), text)

	ctx, cancel := context.WithTimeout(t.Context(), awaitTimeout)
	defer cancel()
	code, err := entry.Code(ctx)
	require.NoError(t, err)
	assert.Zero(t, code)
	assert.Empty(t, <-violations)
}

// sendUntilStopped sends short completions one after another until the entry no longer answers. It
// reports a violation if an answer was cut off, or if a request got no answer before streamEnded was closed.
func (fleet *fleet) sendUntilStopped(ctx context.Context, entry int, streamEnded <-chan struct{}, violations chan<- string) {
	for {
		got, err := fleet.trySend(ctx, entry, "/v1/completions", completionBody("late tokens=2 ", false), "")
		refused := got.status == http.StatusServiceUnavailable && got.ran == "NotRun"
		switch {
		case err == nil && (got.status == http.StatusOK || refused):
			continue
		case err == nil || got.status == http.StatusOK:
			violations <- fmt.Sprintf("status %d, X-Ran %s, error %v: %s", got.status, got.ran, err, got.body)
			return
		}
		select {
		case <-streamEnded:
		default:
			violations <- fmt.Sprintf("no answer while a stream was open: %v", err)
		}
		return
	}
}
