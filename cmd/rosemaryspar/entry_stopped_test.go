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

// Guards P6 when an entry is told to stop in the middle of a stream: the stream
// ends whole, requests that come until then are answered whole or refused as
// not run, and the process ends without error.
func TestStoppedEntryFinishesWhatItAccepted(t *testing.T) {
	fleet := newFleet(t, layout{})
	entry := fleet.entries[1]
	const prompt = "checklist tokens=80 "
	response, err := fleet.open(t.Context(), 1, "/v1/completions", draft(prompt, true), "")
	require.NoError(t, err)
	defer response.Body.Close()
	body := bufio.NewReader(response.Body)
	first, err := body.ReadString('\n')
	require.NoError(t, err)
	signal(t, entry, syscall.SIGTERM)

	cut := make(chan string, 1)
	streamEnded := make(chan struct{})
	go func() {
		defer close(cut)
		fleet.sendUntilGone(t.Context(), 1, streamEnded, cut)
	}()
	await(t, "the entry becomes unready", func() bool { return status(entry, "/readyz") == http.StatusServiceUnavailable })
	rest, err := io.ReadAll(body)
	close(streamEnded)
	require.NoError(t, err)
	text, ended := streamText(t, append([]byte(first), rest...))
	assert.True(t, ended)
	assert.Equal(t, runner.Text(prompt, 0, 80), text)

	ctx, cancel := context.WithTimeout(t.Context(), eventually)
	defer cancel()
	code, err := entry.Code(ctx)
	require.NoError(t, err)
	assert.Zero(t, code)
	assert.Empty(t, <-cut)
}

// sendUntilGone sends drafts one after another until the entry no longer
// answers, and reports one that was cut off, or got no answer while a stream ran.
func (fleet *fleet) sendUntilGone(ctx context.Context, entry int, streamEnded <-chan struct{}, cut chan<- string) {
	for {
		got, err := fleet.trySend(ctx, entry, "/v1/completions", draft("late tokens=2 ", false), "")
		refused := got.status == http.StatusServiceUnavailable && got.ran == "NotRun"
		switch {
		case err == nil && (got.status == http.StatusOK || refused):
			continue
		case err == nil || got.status == http.StatusOK:
			cut <- fmt.Sprintf("status %d, X-Ran %s, error %v: %s", got.status, got.ran, err, got.body)
			return
		}
		select {
		case <-streamEnded:
		default:
			cut <- fmt.Sprintf("no answer while a stream ran: %v", err)
		}
		return
	}
}
