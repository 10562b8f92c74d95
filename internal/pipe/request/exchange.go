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

// Exchange is a request in progress, with the snapshots that the filters use for it, its
// answer and the decisions made so far.
type Exchange struct {
	Request call.Request
	// View is loaded once, so that all filters use the same snapshots. [Retry] replaces its
	// fleet before a further attempt, and [Queues.PreferFreeServers] restricts the fleet.
	View View
	// Service and Account are the configuration documents to which the request refers.
	Service config.Service
	Account config.Account
	// Route, ClientAccount and Target are the route, the client account and the
	// backend server of an opaque call, and Reply receives its answer.
	Route         route.Route
	ClientAccount route.Account
	Target        directory.Server
	Reply         Reply
	// Sink receives the chunks of an engine's answer, nil for a request to a plain service.
	Sink Sink
	// Server is the backend server of the current attempt.
	Server backend.Server
	// TriedServers lists the names of the backend servers of the attempts so far.
	TriedServers []string
	// SentTo is the cell in which [Relay] stores the name of the attempt's server, so
	// that a hedge avoids that server; nil when the request is not hedged.
	SentTo *rcu.Cell[string]
	// Progress is the part of an engine's answer that was passed to the sink.
	Progress stream.Assembler
	// KVCache is the KV cache that the next attempt imports, zero for none.
	KVCache call.KVCache
	// RecomputedTokens is the number of answer tokens that servers computed more than once.
	RecomputedTokens int
	// Answer is the complete answer of a plain service.
	Answer call.Answer
	// QueueWait is the time that the request waited for a slot.
	QueueWait time.Duration
	// Decisions lists the decisions of the filters, oldest first.
	Decisions []Decision
}

// View is the set of snapshots that one request uses.
type View struct {
	Config config.Set
	Fleet  backend.Fleet
	// Routes and Servers are the snapshots for opaque calls.
	Routes  route.Table
	Servers directory.Servers
	// Age is the time since Routes were last confirmed to be the latest version.
	Age time.Duration
}

// Decision records what one filter decided about a request, for operators to read.
type Decision struct {
	At     time.Time
	Step   string
	Reason string
	// Peer is the backend server or entry concerned, empty for none.
	Peer   string `json:",omitempty"`
	Detail string `json:",omitempty"`
	// Rejected lists the servers that were considered in a choice but not chosen.
	Rejected []backend.Rejection `json:",omitempty"`
}

// WithRequest returns the exchange with its request replaced.
func (exchange Exchange) WithRequest(request call.Request) Exchange {
	exchange.Request = request
	return exchange
}

// WithView returns the exchange with the snapshots that the filters use for it.
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

// WithTarget returns the exchange with the backend server of an opaque call's current attempt.
func (exchange Exchange) WithTarget(target directory.Server) Exchange {
	exchange.Target = target
	return exchange
}

// WithReply returns the exchange with another receiver of the opaque answer.
func (exchange Exchange) WithReply(reply Reply) Exchange {
	exchange.Reply = reply
	return exchange
}

// WithSink returns the exchange with another sink for the answer.
func (exchange Exchange) WithSink(sink Sink) Exchange {
	exchange.Sink = sink
	return exchange
}

// WithServer returns the exchange with the backend server of the current attempt.
func (exchange Exchange) WithServer(server backend.Server) Exchange {
	exchange.Server = server
	return exchange
}

// WithTriedServer returns the exchange with one more server in its list of tried servers.
func (exchange Exchange) WithTriedServer(server string) Exchange {
	exchange.TriedServers = append(slices.Clip(exchange.TriedServers), server)
	return exchange
}

// WithoutTriedServers returns the exchange with an empty list of tried servers.
func (exchange Exchange) WithoutTriedServers() Exchange {
	exchange.TriedServers = nil
	return exchange
}

// WithSentTo returns the exchange with the cell in which [Relay] stores the name of the
// attempt's server.
func (exchange Exchange) WithSentTo(sentTo *rcu.Cell[string]) Exchange {
	exchange.SentTo = sentTo
	return exchange
}

// WithProgress returns the exchange with the part of the answer that was passed to the sink.
func (exchange Exchange) WithProgress(progress stream.Assembler) Exchange {
	exchange.Progress = progress
	return exchange
}

// WithKVCache returns the exchange with the KV cache that the next attempt imports.
func (exchange Exchange) WithKVCache(cache call.KVCache) Exchange {
	exchange.KVCache = cache
	return exchange
}

// WithRecomputedTokens returns the exchange with tokens added to its recomputed tokens.
func (exchange Exchange) WithRecomputedTokens(tokens int) Exchange {
	exchange.RecomputedTokens += tokens
	return exchange
}

// WithAnswer returns the exchange with the complete answer of a plain service.
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
