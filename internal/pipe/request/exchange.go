package request

import (
	"slices"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/route"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/stream"
)

// Exchange is a request on its way, with the snapshots it is decided on and what came of it.
type Exchange struct {
	Request call.Request
	// View is loaded once, so that all filters decide on the same snapshots.
	View View
	// Service and Account are the documents that the request refers to.
	Service config.Service
	Account config.Account
	// Route, Client and Target are the route, the client account and the backend
	// server of an opaque call, and Reply takes its answer.
	Route         route.Route
	ClientAccount route.Account
	Target        directory.Server
	Reply         Reply
	// Sink takes the pieces of an engine's answer.
	Sink Sink
	// Server is the backend server of the current try.
	Server backend.Server
	// Tried names the backend servers of earlier tries.
	Tried []string
	// SentTo is where the relay notes the server of a try, for a hedge to avoid it; nil when nobody asks.
	SentTo *rcu.Cell[string]
	// Progress is the part of an engine's answer that was passed to the sink.
	Progress stream.Assembler
	// Cache is the KV cache that the next try imports, zero for none.
	Cache call.KVCache
	// Recomputed is the number of answer tokens that servers computed again.
	Recomputed int
	// Answer is the whole answer of a plain service.
	Answer call.Answer
	// QueueWait is the time that the request waited for a slot.
	QueueWait time.Duration
	// Decisions lists what each filter decided, oldest first.
	Decisions []Decision
}

// View is the set of snapshots that one request is decided on.
type View struct {
	Config config.Set
	Fleet  backend.Fleet
	// Routes and Servers are what opaque calls are decided on.
	Routes  route.Table
	Servers directory.Servers
	// Age is the time since the routes were known to be the newest.
	Age time.Duration
}

// Decision is what one filter decided about a request, for operators to read.
type Decision struct {
	At     time.Time
	Step   string
	Reason string
	// Peer is the backend server or entry concerned, empty for none.
	Peer   string `json:",omitempty"`
	Detail string `json:",omitempty"`
	// Rejected lists the candidates that a choice considered and passed over.
	Rejected []backend.Rejection `json:",omitempty"`
}

// WithRequest returns the exchange with another request.
func (exchange Exchange) WithRequest(request call.Request) Exchange {
	exchange.Request = request
	return exchange
}

// WithView returns the exchange with the snapshots it is decided on.
func (exchange Exchange) WithView(view View) Exchange {
	exchange.View = view
	return exchange
}

// WithServiceAndAccount returns the exchange with its service and client account.
func (exchange Exchange) WithServiceAndAccount(service config.Service, account config.Account) Exchange {
	exchange.Service = service
	exchange.Account = account
	return exchange
}

// WithRoute returns the exchange with the route of an opaque call.
func (exchange Exchange) WithRoute(route route.Route) Exchange {
	exchange.Route = route
	return exchange
}

// WithClientAccount returns the exchange with the client account of an opaque call.
func (exchange Exchange) WithClientAccount(client route.Account) Exchange {
	exchange.ClientAccount = client
	return exchange
}

// WithTarget returns the exchange with the backend server of the current try of an opaque call.
func (exchange Exchange) WithTarget(target directory.Server) Exchange {
	exchange.Target = target
	return exchange
}

// WithReply returns the exchange with another taker of the opaque answer.
func (exchange Exchange) WithReply(reply Reply) Exchange {
	exchange.Reply = reply
	return exchange
}

// WithSink returns the exchange with another sink for the answer.
func (exchange Exchange) WithSink(sink Sink) Exchange {
	exchange.Sink = sink
	return exchange
}

// WithServer returns the exchange with the backend server of the current try.
func (exchange Exchange) WithServer(server backend.Server) Exchange {
	exchange.Server = server
	return exchange
}

// WithTried returns the exchange with one more server that was tried.
func (exchange Exchange) WithTried(server string) Exchange {
	exchange.Tried = append(slices.Clip(exchange.Tried), server)
	return exchange
}

// WithoutTried returns the exchange as if no server had been tried.
func (exchange Exchange) WithoutTried() Exchange {
	exchange.Tried = nil
	return exchange
}

// WithSentTo returns the exchange with the cell in which the relay notes the server of a try.
func (exchange Exchange) WithSentTo(sent *rcu.Cell[string]) Exchange {
	exchange.SentTo = sent
	return exchange
}

// WithProgress returns the exchange with the part of the answer that was passed to the sink.
func (exchange Exchange) WithProgress(progress stream.Assembler) Exchange {
	exchange.Progress = progress
	return exchange
}

// WithCache returns the exchange with the KV cache that the next try imports.
func (exchange Exchange) WithCache(cache call.KVCache) Exchange {
	exchange.Cache = cache
	return exchange
}

// WithRecomputed returns the exchange with that many more tokens computed again.
func (exchange Exchange) WithRecomputed(tokens int) Exchange {
	exchange.Recomputed += tokens
	return exchange
}

// WithAnswer returns the exchange with the whole answer of a plain service.
func (exchange Exchange) WithAnswer(answer call.Answer) Exchange {
	exchange.Answer = answer
	return exchange
}

// WithQueueWait returns the exchange with the time that it waited for a slot.
func (exchange Exchange) WithQueueWait(waited time.Duration) Exchange {
	exchange.QueueWait = waited
	return exchange
}

// WithDecision returns the exchange with one more decision.
func (exchange Exchange) WithDecision(decision Decision) Exchange {
	exchange.Decisions = append(slices.Clip(exchange.Decisions), decision)
	return exchange
}
