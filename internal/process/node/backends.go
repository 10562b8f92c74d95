package node

import (
	"context"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/clock"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/forward"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/backend"
)

// backends adapts the client of backend servers to the interface of package pipe/forward.
type backends struct {
	*backend.Client
}

// Open sends a call to a backend server and returns the answer, whose body is still to be read, or the failure.
func (backends backends) Open(ctx context.Context, server directory.Server, request call.Request, repeat func() bool) (forward.Answer, *call.Failure) {
	answer, failure := backends.Client.Open(ctx, server, request, repeat)
	if failure != nil {
		return nil, failure
	}
	return answer, nil
}

// bootNow returns the time since boot.
func (node *Node) bootNow() time.Duration { return clock.Boot{}.Now() }
