package request_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/retry"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/runner"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// Guards against streams that stay at a server that becomes slow while it sends them,
// against tokens that are duplicated or lost when a stream is relocated, and against
// attempts that are not cancelled after the relocation.
func TestStreamMovesOffAServerThatIsSlowedUnderIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newRetryFixture(t, 3, runnerSettings, retry.PolicyResume)
		for number := range 40 {
			sendAndCheck(t.Context(), t, fixture, "menu", number)
		}
		prompt, slow := "moved tokens=40", ""
		var text strings.Builder
		var chunks []call.Chunk
		begin := time.Now()
		exchange, err := fixture.Handle(t.Context(), request.Exchange{
			Request: call.Request{ID: "moved", KeyHash: "h", Service: "menu", Arrived: begin, Completion: call.Completion{Prompt: prompt}},
			Sink: request.SinkFunc(func(_ context.Context, chunk call.Chunk) error {
				text.WriteString(chunk.Text)
				chunks = append(chunks, chunk)
				for name, server := range fixture.runners {
					if slow == "" && server.Running() > 0 {
						slow = name
						server.Slow(10)
					}
				}
				return nil
			}),
		})
		elapsed := time.Since(begin)
		assert.NoError(t, err)
		assert.Equal(t, runner.Text(prompt, 0, 40), text.String())
		for i, chunk := range chunks[1:] {
			assert.Equal(t, chunks[i].End(), chunk.Offset, "each token once and in order")
		}
		assert.True(t, chunks[len(chunks)-1].Final)
		assert.Equal(t, 1, fixture.endMarkers.Load()["moved"])
		assert.Equal(t, 4, exchange.RecomputedTokens, "the tokens of the first chunk")
		assert.Less(t, elapsed, 2*time.Second, "the stream was not relocated: at the slow server it takes 7 s")
		assert.Contains(t, fmt.Sprint(exchange.Decisions), string(retry.ReasonSlowed))
		synctest.Wait()
		assert.Zero(t, fixture.runners[slow].Running(), "the attempt at the slow server still runs")
	})
}
