package runner

import (
	"context"
	"maps"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// Export names the KV cache of a completion in progress, for another runner to import.
func (runners Runners) Export(_ context.Context, server backend.Server, request call.Request, tokens int) (call.KVCache, error) {
	runner := runners[server.Name]
	if !runner.life.Load().alive {
		return call.KVCache{}, runner.failure(call.RanNot, call.CauseConnect, "connection refused")
	}
	return call.KVCache{Server: server.Name, Handle: request.Completion.Prompt, Tokens: tokens}, nil
}

// Import copies a KV cache from the runner that holds it, at TransferToken per token.
func (runners Runners) Import(ctx context.Context, server backend.Server, cache call.KVCache) error {
	source, target := runners[cache.Server], runners[server.Name]
	current := source.life.Load()
	if !current.alive {
		return source.failure(call.RanNot, call.CauseConnect, "connection refused")
	}
	tokens := PromptTokens(cache.Handle) + cache.Tokens
	if err := source.spend(ctx, current, time.Duration(tokens)*source.settings.TransferToken); err != nil {
		return err
	}
	target.imported.Update(func(imported map[string]int) map[string]int {
		next := maps.Clone(imported)
		next[cache.Handle] = cache.Tokens
		return next
	})
	return nil
}

// takeImported returns the number of answer tokens in the imported cache of a prompt, and drops it.
func (runner *Runner) takeImported(prompt string) (tokens int, found bool) {
	tokens, found = runner.imported.Load()[prompt]
	if found {
		runner.imported.Update(func(imported map[string]int) map[string]int {
			next := maps.Clone(imported)
			delete(next, prompt)
			return next
		})
	}
	return tokens, found
}
