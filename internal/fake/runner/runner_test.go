package runner_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/runner"
)

var settings = runner.Settings{Name: "r1", Slots: 1, AnswerToken: 10 * time.Millisecond, Operation: 5 * time.Millisecond, CrashMark: "poison"}

// Guards against a resumed answer whose text differs from that of an uninterrupted one.
func TestResumedAnswerContinuesTheText(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const prompt = "notes tokens=6"
		text := runner.Text(prompt, 0, 2)
		err := runner.New(settings).Complete(t.Context(), call.Completion{Prompt: prompt, Resume: call.Resume{Text: text, Tokens: 2}}, func(chunk call.Chunk) error {
			text += chunk.Text
			return nil
		})
		require.NoError(t, err)
		assert.Equal(t, runner.Text(prompt, 0, 6), text)
	})
}

// Guards against a runner that serves waiting requests in order of arrival and ignores their priority.
func TestWaitingWorkIsServedByPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := runner.New(settings)
		order := make(chan int, 3)
		for _, priority := range []int{0, 2, 1} {
			go func() {
				_, err := server.Do(context.Background(), call.Operation{}, priority)
				assert.NoError(t, err)
				order <- priority
			}()
			synctest.Wait()
		}
		assert.Equal(t, []int{0, 1, 2}, []int{<-order, <-order, <-order})
	})
}

// Guards against a crash that leaves a request without a result or a slot occupied, and against a
// restarted runner that refuses requests.
func TestCrashEndsWorkAndRestartServesAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := runner.New(settings)
		var failure *call.Failure
		_, err := server.Do(t.Context(), call.Operation{Body: []byte("poison")}, 0)
		require.ErrorAs(t, err, &failure)
		assert.Equal(t, call.RanUnknown, failure.Ran)
		_, err = server.Do(t.Context(), call.Operation{}, 0)
		require.ErrorAs(t, err, &failure)
		assert.Equal(t, call.RanNo, failure.Ran)
		server.Restart()
		_, err = server.Do(t.Context(), call.Operation{}, 0)
		require.NoError(t, err)
		assert.Zero(t, server.Running())
	})
}
