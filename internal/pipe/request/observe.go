package request

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
)

// progressInterval is the minimum time between two updates of a server's observation
// by one stream.
const progressInterval = 10 * time.Millisecond

// observeAttempt passes an attempt on to next and records its times and its failure in
// the observation of the server.
func observeAttempt(ctx context.Context, next Handler, exchange Exchange, now time.Time) (Exchange, error) {
	pool := exchange.View.Fleet.Pool(exchange.Service.Name)
	units := backend.WorkUnits(exchange.Request)
	blocked := &atomic.Bool{}
	id := pool.RecordStart(exchange.Server, units, now, blocked)
	defer func() { pool.RecordEnd(exchange.Server, id, time.Now()) }()
	if exchange.Service.Protocol == config.ProtocolEngine {
		sink := exchange.Sink
		observer := &observer{pool: pool, exchange: exchange, id: id, workUnits: units, intervalStart: now, blocked: blocked, next: sink}
		result, err := next.Handle(ctx, exchange.WithSink(observer))
		recordFailure(pool, exchange, err)
		return result.WithSink(sink), err
	}
	result, err := next.Handle(ctx, exchange)
	recordFailure(pool, exchange, err)
	if err == nil {
		end := time.Now()
		pool.RecordAnswer(exchange.Server, id, end.Sub(now), units, end)
	}
	return result, err
}

// recordFailure records a failure that is due to the server and not to the request or
// its caller.
func recordFailure(pool backend.Pool, exchange Exchange, err error) {
	var failure *call.Failure
	if errors.As(err, &failure) && dueToServer(exchange.Service.Protocol, *failure) {
		pool.RecordFailure(exchange.Server, time.Now())
	}
}

// dueToServer reports whether a failure is evidence against the server.
//
// A malformed answer of a plain service that has certainly run is too large, which the request determines.
func dueToServer(protocol config.Protocol, failure call.Failure) bool {
	switch failure.Cause {
	case call.CauseConnect, call.CauseReset, call.CauseTimeout, call.CauseStalled, call.CauseSlowed, call.CauseBusy:
		return true
	case call.CauseMalformed:
		return protocol == config.ProtocolEngine || failure.Ran != call.RanYes
	default:
		return false
	}
}

// observer is a sink that measures the times of one answer. It is not safe for
// concurrent use.
type observer struct {
	pool     backend.Pool
	exchange Exchange
	id       uint64
	// workUnits is the work up to the first token, see [backend.WorkUnits].
	workUnits float64
	// intervalStart is when the server began to compute the unrecorded tokens. It is moved
	// forward by the time spent in next, in which the stream did not wait for the server.
	intervalStart time.Time
	// unrecordedTokens is the number of answer tokens that have arrived since intervalStart.
	unrecordedTokens int
	// started is whether the first chunk has arrived.
	started bool
	// blocked is set while next processes a chunk, see [backend.Pool.RecordStart].
	blocked *atomic.Bool
	next    Sink
}

// Send records the chunk and passes it on. It leaves out the time that the following sinks
// and the caller take, for which the server is not responsible.
func (observer *observer) Send(ctx context.Context, chunk call.Chunk) error {
	now := time.Now()
	observer.record(chunk, now)
	observer.blocked.Store(true)
	defer observer.blocked.Store(false)
	err := observer.next.Send(ctx, chunk)
	end := time.Now()
	if waited := end.Sub(now); waited > progressInterval {
		observer.intervalStart = observer.intervalStart.Add(waited)
		observer.pool.RecordUnblocked(observer.exchange.Server, observer.id, end)
	}
	return err
}

// record records the time to the first chunk, and after that the number of tokens per
// interval of at least progressInterval.
func (observer *observer) record(chunk call.Chunk, now time.Time) {
	took := now.Sub(observer.intervalStart)
	server := observer.exchange.Server
	if !observer.started {
		observer.started = true
		observer.intervalStart = now
		observer.pool.RecordAnswer(server, observer.id, took, observer.workUnits, now)
		request := observer.exchange.Request.Completion
		observer.pool.Affinity().RecordStored(backend.NewPrefixes(request.Model, request.Prompt), server.Name, now)
		return
	}
	observer.unrecordedTokens += chunk.Tokens
	if observer.unrecordedTokens == 0 || took < progressInterval && !chunk.Final {
		return
	}
	observer.pool.RecordProgress(server, observer.id, observer.unrecordedTokens, took, now)
	observer.unrecordedTokens, observer.intervalStart = 0, now
}
