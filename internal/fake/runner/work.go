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

// defaultAnswerTokens is the length of the answer to a prompt without "tokens=N".
const defaultAnswerTokens = 16

// Length returns the number of tokens in the answer to a prompt: N if the prompt
// contains "tokens=N", and 16 otherwise.
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

// Text returns the tokens in [from, end) of the answer to a prompt.
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

// PromptTokens returns the number of tokens in a prompt, at four bytes per token.
func PromptTokens(prompt string) int {
	return (len(prompt) + 3) / 4
}

// Complete streams the answer to a completion, starting after the tokens in completion.Resume.
//
// The first chunk is delayed by the prompt tokens that are in no cache and by the resumed tokens that were
// not imported; the latter are reported as recomputed. It returns a [*call.Failure] when the work is
// interrupted, and the error of send otherwise.
func (runner *Runner) Complete(ctx context.Context, completion call.Completion, send func(call.Chunk) error) error {
	incarnation, err := runner.acquireSlot(ctx, completion.Priority)
	if err != nil {
		return err
	}
	defer runner.slots.release()
	if runner.crashIfMarked(completion.Prompt) {
		return runner.interruption(ctx, incarnation)
	}
	imported, hasImport := runner.takeImported(completion.Prompt)
	recomputed := max(0, completion.Resume.Tokens-imported)
	uncached := PromptTokens(completion.Prompt) + recomputed
	if runner.lookUpPrompt(completion.Prompt) || hasImport {
		uncached = recomputed
	}
	if err := runner.simulateWork(ctx, incarnation, time.Duration(uncached)*runner.settings.PromptToken); err != nil {
		return err
	}
	length, finish := Length(completion.Prompt), "stop"
	if completion.MaxTokens > 0 && completion.MaxTokens < length {
		length, finish = completion.MaxTokens, "length"
	}
	for offset := completion.Resume.Tokens; offset < length; {
		end := min(length, offset+runner.settings.ChunkTokens)
		if err := runner.simulateWork(ctx, incarnation, time.Duration(end-offset)*runner.settings.AnswerToken); err != nil {
			return err
		}
		if err := send(call.Chunk{Offset: offset, Tokens: end - offset, Text: Text(completion.Prompt, offset, end)}); err != nil {
			return err
		}
		offset = end
	}
	runner.finished.Add(1)
	return send(call.Chunk{Offset: length, Final: true, FinishReason: finish, Recomputed: recomputed})
}

// Do answers an operation with its method, its path and four tokens of [Text] of its body.
func (runner *Runner) Do(ctx context.Context, operation call.Operation, priority int) (call.Answer, error) {
	incarnation, err := runner.acquireSlot(ctx, priority)
	if err != nil {
		return call.Answer{}, err
	}
	defer runner.slots.release()
	if runner.crashIfMarked(string(operation.Body)) {
		return call.Answer{}, runner.interruption(ctx, incarnation)
	}
	if err := runner.simulateWork(ctx, incarnation, runner.settings.Operation); err != nil {
		return call.Answer{}, err
	}
	runner.finished.Add(1)
	body := operation.Method + " " + operation.Path + " " + Text(string(operation.Body), 0, 4)
	return call.Answer{Status: http.StatusOK, ContentType: "text/plain", Body: []byte(body)}, nil
}

// crashIfMarked crashes the runner if input contains CrashMark, and reports whether it did.
func (runner *Runner) crashIfMarked(input string) bool {
	if runner.settings.CrashMark == "" || !strings.Contains(input, runner.settings.CrashMark) {
		return false
	}
	runner.Crash()
	return true
}

// lookUpPrompt reports whether the prompt is in the cache, and makes it the most recently used one.
func (runner *Runner) lookUpPrompt(prompt string) bool {
	found := slices.Contains(runner.cache.Load(), prompt)
	runner.cache.Update(func(prompts []string) []string {
		next := slices.DeleteFunc(slices.Clone(prompts), func(cached string) bool { return cached == prompt })
		next = append(next, prompt)
		return next[max(0, len(next)-runner.settings.CachePrompts):]
	})
	return found
}
