package runner

import (
	"context"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// Runners holds runners by the name of the backend server that each simulates.
type Runners map[string]*Runner

// Complete answers a completion at the runner of server, as [Runner.Complete] does, into sink.
func (runners Runners) Complete(ctx context.Context, server backend.Server, request call.Request, sink request.Sink) error {
	return runners[server.Name].Complete(ctx, request.Completion, func(chunk call.Chunk) error {
		return sink.Send(ctx, chunk)
	})
}

// Do answers an operation at the runner of server, as [Runner.Do] does.
func (runners Runners) Do(ctx context.Context, server backend.Server, request call.Request) (call.Answer, error) {
	return runners[server.Name].Do(ctx, request.Operation, request.Completion.Priority)
}
