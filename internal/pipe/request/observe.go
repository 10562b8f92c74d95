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

// progressInterval bounds how often one stream updates the observation of its server.
const progressInterval = 10 * time.Millisecond

// observeAttempt passes a try on and records its times in the observation of the server.
func observeAttempt(ctx context.Context, next Handler, exchange Exchange, now time.Time) (Exchange, error) {
	pool := exchange.View.Fleet.Pool(exchange.Service.Name)
	units := backend.Units(exchange.Request)
	blocked := &atomic.Bool{}
	id := pool.Started(exchange.Server, units, now, blocked)
	defer func() { pool.Ended(exchange.Server, id, time.Now()) }()
	if exchange.Service.Protocol == config.ProtocolEngine {
		inner := exchange.Sink
		observer := &observer{pool: pool, exchange: exchange, id: id, units: units, since: now, blocked: blocked, next: inner}
		after, err := next.Handle(ctx, exchange.WithSink(observer))
		recordFailure(pool, exchange.Server, err)
		return after.WithSink(inner), err
	}
	after, err := next.Handle(ctx, exchange)
	recordFailure(pool, exchange.Server, err)
	if err == nil {
		end := time.Now()
		pool.Answered(exchange.Server, id, end.Sub(now), units, end)
	}
	return after, err
}

// recordFailure records a failure that the server, and not the request or its caller, is to blame for.
func recordFailure(pool backend.Pool, server backend.Server, err error) {
	var failure *call.Failure
	if !errors.As(err, &failure) {
		return
	}
	switch failure.Cause {
	case call.CauseConnect, call.CauseReset, call.CauseTimeout, call.CauseStalled, call.CauseSlowed, call.CauseBusy:
		pool.Failed(server, time.Now())
	}
}

// observer is a sink that times an answer; one stream uses it, one chunk at a time.
type observer struct {
	pool     backend.Pool
	exchange Exchange
	id       uint64
	units    float64
	// since is when the tokens counted began to be computed, without the time in next.
	since    time.Time
	tokens   int
	answered bool
	blocked  *atomic.Bool
	next     Sink
}

// Send records the chunk and passes it on. The time that the rest of the path
// takes is no time of the server and is left out.
func (observer *observer) Send(ctx context.Context, chunk call.Chunk) error {
	now := time.Now()
	observer.record(chunk, now)
	observer.blocked.Store(true)
	defer observer.blocked.Store(false)
	err := observer.next.Send(ctx, chunk)
	end := time.Now()
	if waited := end.Sub(now); waited > progressInterval {
		observer.since = observer.since.Add(waited)
		observer.pool.Resumed(observer.exchange.Server, observer.id, end)
	}
	return err
}

func (observer *observer) record(chunk call.Chunk, now time.Time) {
	took := now.Sub(observer.since)
	server := observer.exchange.Server
	if !observer.answered {
		observer.answered = true
		observer.since = now
		observer.pool.Answered(server, observer.id, took, observer.units, now)
		request := observer.exchange.Request.Completion
		observer.pool.Affinity().Stored(backend.PrefixesOf(request.Model, request.Prompt), server.Name, now)
		return
	}
	observer.tokens += chunk.Tokens
	if observer.tokens == 0 || took < progressInterval && !chunk.Final {
		return
	}
	observer.pool.Progressed(server, observer.id, observer.tokens, took, now)
	observer.tokens, observer.since = 0, now
}
