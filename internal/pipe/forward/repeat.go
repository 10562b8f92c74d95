package forward

import (
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// repeat returns the function that allows a call to be sent again to the same server, nil if it may run only once. The server
// may have run it, so it is charged to the retry budget like a retry at another server.
func (delivery *Delivery) repeat(exchange request.Exchange, server directory.Server) func() bool {
	if !exchange.Route.Repeatable() {
		return nil
	}
	return func() bool {
		if !delivery.mayRepeat(exchange, server) || !delivery.dependencies.RetryBudgets.Spend(server.Service) {
			return false
		}
		delivery.dependencies.Rollouts.recordRepeat(server, exchange.Route.Name)
		return true
	}
}

// mayRepeat reports whether a server that a call was sent to may get it once more. A connection may end long after the server was chosen,
// so whatever has to hold for a choice must still hold.
func (delivery *Delivery) mayRepeat(exchange request.Exchange, server directory.Server) bool {
	dependencies := delivery.dependencies
	listed, takesCalls := listedServer(dependencies.Directory.Servers().OfService(server.Service), server)
	switch {
	case !takesCalls, listed.Address != server.Address:
		return false
	case !dependencies.Rollouts.allows(server):
		return false
	case dependencies.Observations.observationCell(server).Load().ClosedUntil() > dependencies.Clock.Now():
		return false
	}
	return dependencies.Revocation.Check(exchange) == nil && dependencies.PartCrashes.Check(exchange.Request.Opaque.Prompt) == nil
}
