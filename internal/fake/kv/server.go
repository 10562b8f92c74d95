package kv

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
)

// bodyLimit lets values over the limit arrive, so that they are refused as too large, in bytes.
const bodyLimit = 8 << 20

// Server is a running stand-in.
type Server struct {
	hertz   *server.Hertz
	address string
	data    *rcu.Cell[version]
	faults  *rcu.Cell[Faults]
	done    chan struct{}
	calls   atomic.Int64
	counts  *rcu.Cell[Counts]
	writes  atomic.Int64
	leases  atomic.Int64
}

// version is a state and a channel that is closed when a newer one replaces it.
type version struct {
	state    State
	replaced chan struct{}
}

// Start listens on address ("127.0.0.1:0" picks a free port) and serves until [Server.Close].
func Start(address string) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	service := &Server{
		address: listener.Addr().String(),
		data:    rcu.New(version{state: State{revision: 1}, replaced: make(chan struct{})}),
		faults:  rcu.New(Faults{}),
		done:    make(chan struct{}),
		counts:  rcu.New(Counts(nil)),
	}
	service.hertz = server.New(
		server.WithListener(listener),
		server.WithTransport(standard.NewTransporter),
		server.WithMaxRequestBodySize(bodyLimit),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(0),
	)
	service.route()
	go func() { _ = service.hertz.Run() }()
	return service, nil
}

// Address returns the IP address and port that the server listens on.
func (service *Server) Address() string { return service.address }

// Calls returns how many calls arrived, a watch counting as one.
func (service *Server) Calls() int64 { return service.calls.Load() }

// Writes returns how many calls changed the data.
func (service *Server) Writes() int64 { return service.writes.Load() }

// State returns the current data.
func (service *Server) State() State { return service.data.Load().state }

// Inject replaces the faults by change of the current ones.
func (service *Server) Inject(change func(Faults) Faults) {
	service.faults.Update(change)
	service.wake()
}

// Compact forgets the history before the current revision.
func (service *Server) Compact() {
	service.change(func(state State) State { return state.withCompaction(state.revision) })
}

// Close ends watches and stops the server.
func (service *Server) Close() error {
	close(service.done)
	return service.hertz.Close()
}

// change stores the next state and wakes the watches.
func (service *Server) change(step func(State) State) {
	_, replaced := rcu.Apply(service.data, func(current version) (version, chan struct{}) {
		return version{state: step(current.state), replaced: make(chan struct{})}, current.replaced
	})
	close(replaced)
}

func (service *Server) wake() {
	service.change(func(state State) State { return state })
}

func (service *Server) route() {
	service.hertz.POST("/v3/kv/range", serve(service, KindRange, service.readRange))
	service.hertz.POST("/v3/kv/put", serve(service, KindPut, service.put))
	service.hertz.POST("/v3/kv/deleterange", serve(service, KindDelete, service.deleteRange))
	service.hertz.POST("/v3/kv/txn", serve(service, KindTxn, service.transact))
	service.hertz.POST("/v3/lease/grant", serve(service, KindGrant, service.grant))
	service.hertz.POST("/v3/lease/keepalive", serve(service, KindKeepAlive, service.keepAlive))
	service.hertz.POST("/v3/lease/revoke", serve(service, KindRevoke, service.revoke))
	service.hertz.POST("/v3/watch", service.watch)
	service.hertz.POST("/faults", service.setFaults)
	service.hertz.GET("/writes", service.showWrites)
}

// setFaults replaces the faults by those in the body, in the fields of [Faults].
func (service *Server) setFaults(_ context.Context, exchange *app.RequestContext) {
	var faults Faults
	if err := json.Unmarshal(exchange.Request.Body(), &faults); err != nil {
		refuse(exchange, errMalformed)
		return
	}
	service.Inject(func(Faults) Faults { return faults })
}

// showWrites answers with the number of calls that changed the data.
func (service *Server) showWrites(_ context.Context, exchange *app.RequestContext) {
	exchange.String(200, strconv.FormatInt(service.Writes(), 10))
}

// serve decodes a request, applies the faults around handle, and encodes its response.
func serve[Request, Response any](service *Server, kind Kind, handle func(Request) (Response, *failure)) app.HandlerFunc {
	return func(ctx context.Context, exchange *app.RequestContext) {
		service.count(kind)
		if refused := service.disturb(ctx); refused != nil {
			refuse(exchange, refused)
			return
		}
		var request Request
		if err := json.Unmarshal(exchange.Request.Body(), &request); err != nil {
			refuse(exchange, errMalformed)
			return
		}
		before := service.State().revision
		response, refused := handle(request)
		if refused != nil {
			refuse(exchange, refused)
			return
		}
		if service.State().revision != before {
			service.rest(ctx, service.faults.Load().AnswerDelay)
			if service.losesAnswer() {
				_ = exchange.GetConn().Close()
				return
			}
		}
		exchange.JSON(200, response)
	}
}

// disturb waits for the delay and reports an outage.
func (service *Server) disturb(ctx context.Context) *failure {
	service.rest(ctx, service.faults.Load().Delay)
	if service.faults.Load().Out {
		return errOut
	}
	return nil
}

// rest waits for a delay, or until the server or the call ends.
func (service *Server) rest(ctx context.Context, delay time.Duration) {
	if delay <= 0 {
		return
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-service.done:
	case <-ctx.Done():
	}
}

func (service *Server) losesAnswer() bool {
	_, lost := rcu.Apply(service.faults, func(faults Faults) (Faults, bool) {
		return faults.WithLostAnswers(max(0, faults.LoseAnswers-1)), faults.LoseAnswers > 0
	})
	return lost
}

func refuse(exchange *app.RequestContext, refused *failure) {
	exchange.JSON(refused.httpStatus, status{Error: refused.message, Code: refused.code, Message: refused.message})
}
