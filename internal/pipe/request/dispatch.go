package request

import (
	"context"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
)

// EngineClient sends completions to model engines.
type EngineClient interface {
	// Complete sends the completion in request, passes the answer's chunks to sink as the
	// engine sends them, and returns a [*call.Failure] when the answer ends without its end marker.
	Complete(ctx context.Context, server backend.Server, request call.Request, sink Sink) error
}

// ServiceClient sends operations to plain services.
type ServiceClient interface {
	// Do sends the operation in request and returns the complete answer, or a
	// [*call.Failure] when none arrived.
	Do(ctx context.Context, server backend.Server, request call.Request) (call.Answer, error)
}

// Dispatch sends a request to the chosen backend server. It is the last handler of
// the chain.
func Dispatch(engines EngineClient, services ServiceClient) Handler {
	return HandlerFunc(func(ctx context.Context, exchange Exchange) (Exchange, error) {
		if exchange.Service.Protocol == config.ProtocolEngine {
			return exchange, engines.Complete(ctx, exchange.Server, exchange.Request, exchange.Sink)
		}
		answer, err := services.Do(ctx, exchange.Server, exchange.Request)
		return exchange.WithAnswer(answer), err
	})
}
