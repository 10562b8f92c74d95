package runner

import (
	"context"
	"maps"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// Export returns a reference to the KV cache of a completion in progress, for another runner to import.
func (runners Runners) Export(_ context.Context, server backend.Server, request call.Request, tokens int) (call.KVCache, error) {
	runner := runners[server.Name]
	if !runner.incarnation.Load().alive {
		return call.KVCache{}, runner.failure(call.RanNo, call.CauseConnect, "connection refused")
	}
	return call.KVCache{Server: server.Name, Handle: request.Completion.Prompt, Tokens: tokens}, nil
}

// Import copies a KV cache from the runner that holds it to the runner of server, in TransferToken per token.
func (runners Runners) Import(ctx context.Context, server backend.Server, cache call.KVCache) error {
	source, target := runners[cache.Server], runners[server.Name]
	incarnation := source.incarnation.Load()
	if !incarnation.alive {
		return source.failure(call.RanNo, call.CauseConnect, "connection refused")
	}
	tokens := PromptTokens(cache.Handle) + cache.Tokens
	if err := source.simulateWork(ctx, incarnation, time.Duration(tokens)*source.settings.TransferToken); err != nil {
		return err
	}
	target.imported.Update(func(imported map[string]int) map[string]int {
		next := maps.Clone(imported)
		next[cache.Handle] = cache.Tokens
		return next
	})
	return nil
}

// takeImported removes the imported KV cache of a prompt and returns the number of answer tokens in it.
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
