package runner

import (
	"context"
	"fmt"
	"hash/fnv"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// defaultAnswerTokens is the answer's length when the prompt states none.
const defaultAnswerTokens = 16

// Length returns the number of tokens in the answer to a prompt.
//
// A prompt that contains "tokens=N" is answered with N tokens.
func Length(prompt string) int {
	_, after, found := strings.Cut(prompt, "tokens=")
	length := defaultAnswerTokens
	if found {
		if _, err := fmt.Sscanf(after, "%d", &length); err != nil {
			return defaultAnswerTokens
		}
	}
	return length
}

// Text returns tokens from (inclusive) to end (exclusive) of the answer to a prompt.
func Text(prompt string, from, end int) string {
	hash := fnv.New32a()
	hash.Write([]byte(prompt))
	seed := hash.Sum32()
	var text strings.Builder
	for i := from; i < end; i++ {
		fmt.Fprintf(&text, "%x.%d ", seed%0xfff, i)
	}
	return text.String()
}

// PromptTokens returns the number of tokens in a prompt, four bytes to a token.
func PromptTokens(prompt string) int {
	return (len(prompt) + 3) / 4
}

// Complete answers a completion, starting after the tokens that the caller already has.
func (runner *Runner) Complete(ctx context.Context, completion call.Completion, send func(call.Chunk) error) error {
	current, err := runner.enter(ctx, completion.Priority)
	if err != nil {
		return err
	}
	defer runner.slots.release()
	if runner.crashes(completion.Prompt) {
		return runner.ended(ctx, current)
	}
	imported, found := runner.takeImported(completion.Prompt)
	recomputed := max(0, completion.Resume.Tokens-imported)
	fresh := PromptTokens(completion.Prompt) + recomputed
	if runner.cached(completion.Prompt) || found {
		fresh = recomputed
	}
	if err := runner.spend(ctx, current, time.Duration(fresh)*runner.settings.PromptToken); err != nil {
		return err
	}
	length, finish := Length(completion.Prompt), "stop"
	if completion.MaxTokens > 0 && completion.MaxTokens < length {
		length, finish = completion.MaxTokens, "length"
	}
	for at := completion.Resume.Tokens; at < length; {
		end := min(length, at+runner.settings.ChunkTokens)
		if err := runner.spend(ctx, current, time.Duration(end-at)*runner.settings.AnswerToken); err != nil {
			return err
		}
		if err := send(call.Chunk{Offset: at, Tokens: end - at, Text: Text(completion.Prompt, at, end)}); err != nil {
			return err
		}
		at = end
	}
	runner.finished.Add(1)
	return send(call.Chunk{Offset: length, Final: true, FinishReason: finish, Recomputed: recomputed})
}

// Do answers an operation with the text of its body's answer.
func (runner *Runner) Do(ctx context.Context, operation call.Operation, priority int) (call.Answer, error) {
	current, err := runner.enter(ctx, priority)
	if err != nil {
		return call.Answer{}, err
	}
	defer runner.slots.release()
	if runner.crashes(string(operation.Body)) {
		return call.Answer{}, runner.ended(ctx, current)
	}
	if err := runner.spend(ctx, current, runner.settings.Operation); err != nil {
		return call.Answer{}, err
	}
	runner.finished.Add(1)
	body := operation.Method + " " + operation.Path + " " + Text(string(operation.Body), 0, 4)
	return call.Answer{Status: http.StatusOK, ContentType: "text/plain", Body: []byte(body)}, nil
}

func (runner *Runner) crashes(input string) bool {
	if runner.settings.CrashMark == "" || !strings.Contains(input, runner.settings.CrashMark) {
		return false
	}
	runner.Crash()
	return true
}

// cached reports whether the prompt is in the cache, and makes it the newest there.
func (runner *Runner) cached(prompt string) bool {
	found := slices.Contains(runner.cache.Load(), prompt)
	runner.cache.Update(func(prompts []string) []string {
		next := slices.DeleteFunc(slices.Clone(prompts), func(other string) bool { return other == prompt })
		next = append(next, prompt)
		return next[max(0, len(next)-runner.settings.CachePrompts):]
	})
	return found
}
