package httpserver_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/wire/httpserver"
)

// callers are clients that send requests on new connections, one after the other, until a time after the stop.
type callers struct {
	url      string
	answered atomic.Int64
	// cut counts requests whose connection was opened and ended without an answer.
	cut     atomic.Int64
	lastCut atomic.Value
	stop    atomic.Bool
}

// run sends requests until the callers stop or the server refuses connections.
func (callers *callers) run(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for !callers.stop.Load() && ctx.Err() == nil {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, callers.url, nil)
		if err != nil {
			return
		}
		response, err := client.Do(request)
		var failure *net.OpError
		switch {
		case errors.As(err, &failure) && failure.Op == "dial":
			return // The listener is closed, and nothing was sent.
		case err != nil:
			callers.cut.Add(1)
			callers.lastCut.Store(err.Error())
			continue
		}
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if err != nil {
			callers.cut.Add(1)
			continue
		}
		callers.answered.Add(1)
	}
}

// Guards against a planned stop under load that cuts off requests which have just been accepted: the listener closed with
// their connections in its queue. Sockets have no virtual time.
func TestRequestsThatArriveDuringAStopAreAnswered(t *testing.T) {
	for range 5 {
		server, err := httpserver.Listen("127.0.0.1:0", 1<<10)
		require.NoError(t, err)
		server.GET("/", func(_ context.Context, c *app.RequestContext) {
			time.Sleep(2 * time.Millisecond)
			c.String(http.StatusOK, "ok")
		})
		serving, stop := context.WithCancel(t.Context())
		served := make(chan error, 1)
		go func() { served <- server.Serve(serving) }()
		callers := &callers{url: "http://" + server.Address() + "/"}
		var running sync.WaitGroup
		for range 16 {
			running.Go(func() { callers.run(t.Context()) })
		}
		time.Sleep(100 * time.Millisecond)
		stop()
		// The balancer and the callers notice the stop within this time.
		time.Sleep(150 * time.Millisecond)
		callers.stop.Store(true)
		running.Wait()
		require.NoError(t, <-served)
		assert.Positive(t, callers.answered.Load())
		assert.Zero(t, callers.cut.Load(), "of %d answered: %v", callers.answered.Load(), callers.lastCut.Load())
	}
}

// Guards against a server that does not stop because requests keep arriving.
func TestStopIsBoundedWhileRequestsArrive(t *testing.T) {
	server, err := httpserver.Listen("127.0.0.1:0", 1<<10)
	require.NoError(t, err)
	server.GET("/", func(_ context.Context, c *app.RequestContext) { c.String(http.StatusOK, "ok") })
	serving, stop := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- server.Serve(serving) }()
	callers := &callers{url: "http://" + server.Address() + "/"}
	var running sync.WaitGroup
	running.Go(func() { callers.run(t.Context()) })
	time.Sleep(50 * time.Millisecond)
	stop()
	select {
	case err := <-served:
		require.NoError(t, err)
	case <-time.After(5 * time.Second):
		assert.Fail(t, "the server still serves 5 s after the stop")
	}
	callers.stop.Store(true)
	running.Wait()
}
