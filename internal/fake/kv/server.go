package kv

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
)

// maxBodyBytes exceeds maxValueBytes, so that a value over the limit is read and then rejected as too large.
const maxBodyBytes = 8 << 20

// Server is a running key-value service. It is safe for concurrent use.
type Server struct {
	hertz       *server.Hertz
	address     string
	data        *rcu.Cell[publishedState]
	faults      *rcu.Cell[Faults]
	done        chan struct{}
	calls       atomic.Int64
	counts      *rcu.Cell[Counts]
	writes      atomic.Int64
	lastLeaseID atomic.Int64
}

// publishedState is a state and a channel that is closed when the next state replaces it.
type publishedState struct {
	state    State
	replaced chan struct{}
}

// Start listens on address ("127.0.0.1:0" picks a free port) and serves in the background until [Server.Close].
func Start(address string) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	accepting := &acceptingListener{Listener: listener, first: make(chan struct{})}
	service := &Server{
		address: listener.Addr().String(),
		data:    rcu.New(publishedState{state: State{revision: 1}, replaced: make(chan struct{})}),
		faults:  rcu.New(Faults{}),
		done:    make(chan struct{}),
		counts:  rcu.New(Counts(nil)),
	}
	service.hertz = server.New(
		server.WithListener(accepting),
		server.WithTransport(standard.NewTransporter),
		server.WithMaxRequestBodySize(maxBodyBytes),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(0),
	)
	service.registerRoutes()
	go func() { _ = service.hertz.Run() }()
	<-accepting.first
	return service, nil
}

// acceptingListener is a listener that reports the first call of Accept. hertz runs by then, and cannot be shut down before.
type acceptingListener struct {
	net.Listener
	first chan struct{}
	once  sync.Once
}

// Accept implements [net.Listener].
func (listener *acceptingListener) Accept() (net.Conn, error) {
	listener.once.Do(func() { close(listener.first) })
	return listener.Listener.Accept()
}

// Address returns the address that the server listens on, as "IP:port".
func (server *Server) Address() string { return server.address }

// Calls returns how many calls have arrived. A watch counts once, when it is opened.
func (server *Server) Calls() int64 { return server.calls.Load() }

// Writes returns how many put, delete and txn calls have changed the data.
func (server *Server) Writes() int64 { return server.writes.Load() }

// State returns the current state of the data.
func (server *Server) State() State { return server.data.Load().state }

// Inject replaces the faults by the result of change, which receives the current ones, and wakes the watches.
func (server *Server) Inject(change func(Faults) Faults) {
	server.faults.Update(change)
	server.wakeWatches()
}

// Compact discards the history before the current revision, so that reads and watches of an earlier one fail.
func (server *Server) Compact() {
	server.update(func(state State) State { return state.withCompaction(state.revision) })
}

// closeTimeout is how long [Server.Shutdown] waits for connections whose clients have closed them.
const closeTimeout = time.Second

// Close is [Server.Shutdown] for callers without a context.
func (server *Server) Close() error { return server.Shutdown(context.Background()) }

// Shutdown ends all open watches and stops the server, once its connections have ended. It must be called only once.
// The end of ctx does not shorten the wait, since callers stop the server when their context has ended.
//
// hertz's own Close fails if a connection has not ended 10 ms later, as happens on a busy machine.
func (server *Server) Shutdown(ctx context.Context) error {
	close(server.done)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	return server.hertz.Shutdown(ctx)
}

// update replaces the state by the result of change and wakes the watches.
func (server *Server) update(change func(State) State) {
	_, replaced := rcu.Apply(server.data, func(current publishedState) (publishedState, chan struct{}) {
		return publishedState{state: change(current.state), replaced: make(chan struct{})}, current.replaced
	})
	close(replaced)
}

func (server *Server) wakeWatches() {
	server.update(func(state State) State { return state })
}

func (server *Server) registerRoutes() {
	server.hertz.POST("/v3/kv/range", serve(server, KindRange, server.readRange))
	server.hertz.POST("/v3/kv/put", serve(server, KindPut, server.put))
	server.hertz.POST("/v3/kv/deleterange", serve(server, KindDelete, server.deleteRange))
	server.hertz.POST("/v3/kv/txn", serve(server, KindTxn, server.transact))
	server.hertz.POST("/v3/lease/grant", serve(server, KindGrant, server.grant))
	server.hertz.POST("/v3/lease/keepalive", serve(server, KindKeepAlive, server.keepAlive))
	server.hertz.POST("/v3/lease/revoke", serve(server, KindRevoke, server.revoke))
	server.hertz.POST("/v3/watch", server.watch)
	server.hertz.POST("/faults", server.setFaults)
}

// setFaults replaces the faults by those in the request body, a JSON object with the fields of [Faults].
func (server *Server) setFaults(_ context.Context, exchange *app.RequestContext) {
	var faults Faults
	if err := json.Unmarshal(exchange.Request.Body(), &faults); err != nil {
		writeError(exchange, errMalformed)
		return
	}
	server.Inject(func(Faults) Faults { return faults })
}

// serve returns a handler that decodes a request, passes it to handle and encodes the response. The injected
// faults apply before handle, and to the answer if the revision has risen in the meantime.
func serve[Request, Response any](server *Server, kind Kind, handle func(Request) (Response, *protocolError)) app.HandlerFunc {
	return func(ctx context.Context, exchange *app.RequestContext) {
		server.count(kind)
		if failure := server.injectBefore(ctx); failure != nil {
			writeError(exchange, failure)
			return
		}
		var request Request
		if err := json.Unmarshal(exchange.Request.Body(), &request); err != nil {
			writeError(exchange, errMalformed)
			return
		}
		revisionBefore := server.State().revision
		response, failure := handle(request)
		if failure != nil {
			writeError(exchange, failure)
			return
		}
		if server.State().revision != revisionBefore {
			server.wait(ctx, server.faults.Load().AnswerDelay)
			if server.consumeLostAnswer() {
				_ = exchange.GetConn().Close()
				return
			}
		}
		exchange.JSON(200, response)
	}
}

// injectBefore applies the faults that precede a call: it waits for Delay and returns errUnavailable while Out is set.
func (server *Server) injectBefore(ctx context.Context) *protocolError {
	server.wait(ctx, server.faults.Load().Delay)
	if server.faults.Load().Out {
		return errUnavailable
	}
	return nil
}

// wait returns after delay, or earlier when the server is closed or ctx ends.
func (server *Server) wait(ctx context.Context, delay time.Duration) {
	if delay <= 0 {
		return
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-server.done:
	case <-ctx.Done():
	}
}

// consumeLostAnswer reports whether the answer to a write must be dropped, and decrements LoseAnswers if so.
func (server *Server) consumeLostAnswer() bool {
	_, lost := rcu.Apply(server.faults, func(faults Faults) (Faults, bool) {
		return faults.WithLostAnswers(max(0, faults.LoseAnswers-1)), faults.LoseAnswers > 0
	})
	return lost
}

func writeError(exchange *app.RequestContext, failure *protocolError) {
	exchange.JSON(failure.httpStatus, status{Error: failure.message, Code: failure.code, Message: failure.message})
}
