package engine

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/runner"
	wire "github.com/rosemaryspar/rosemaryspar/internal/wire/engine"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/httpserver"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/openai"
)

const maxBodyBytes = 4 << 20

// Server is a model engine that computes nothing: its answers come from a [runner.Runner].
type Server struct {
	http   *httpserver.Server
	runner *runner.Runner
	chunks atomic.Int64
}

// Listen opens address for an engine whose answers, timing and crashes are those of runner.
func Listen(address string, runner *runner.Runner) (*Server, error) {
	http, err := httpserver.Listen(address, maxBodyBytes)
	if err != nil {
		return nil, err
	}
	server := &Server{http: http, runner: runner}
	http.POST(openai.CompletionsPath, func(ctx context.Context, c *app.RequestContext) { server.complete(ctx, c, false) })
	http.POST(openai.ChatPath, func(ctx context.Context, c *app.RequestContext) { server.complete(ctx, c, true) })
	http.GET("/load", server.load)
	return server, nil
}

// WithOrders makes the server accept orders; it must be called before Serve.
func (server *Server) WithOrders(orders *Orders) *Server {
	server.http.POST(wire.OrdersPath, orders.serveOrder)
	server.http.GET(wire.StatePath, orders.serveState)
	return server
}

// Address returns the address that the engine listens on, as "IP:port".
func (server *Server) Address() string { return server.http.Address() }

// Serve answers requests until the context ends.
func (server *Server) Serve(ctx context.Context) error { return server.http.Serve(ctx) }

// complete streams the answer to a completion. A crash closes the connection, and a request that did not run gets
// status 503.
func (server *Server) complete(ctx context.Context, c *app.RequestContext, chat bool) {
	body := c.Request.Body()
	request, err := openai.DecodeRequest(body, chat)
	if err != nil {
		c.String(http.StatusBadRequest, err.Error())
		return
	}
	if !request.Stream {
		c.String(http.StatusBadRequest, "stream: must be true, this stand-in answers with streams only")
		return
	}
	head := openai.Head{ID: string(c.GetHeader("X-Request-Id")), Model: request.Model, Chat: chat}
	c.Header("X-Request-Id", head.ID)
	var writer *sse.Writer
	err = server.runner.Complete(ctx, request.Completion(body, chat), func(chunk call.Chunk) error {
		if writer == nil {
			writer = sse.NewWriter(c)
		}
		data, err := openai.EncodeChunk(head, chunk)
		if err != nil {
			return err
		}
		server.chunks.Add(1)
		return writer.WriteEvent("", "", data)
	})
	var failure *call.Failure
	switch {
	case err == nil:
		_ = writer.WriteEvent("", "", []byte(openai.Done))
	case errors.As(err, &failure) && failure.Cause == call.CauseReset:
		// A crash closes the connection without an answer, as when the process has ended.
		_ = c.GetConn().Close()
	case writer == nil && errors.As(err, &failure) && failure.Ran == call.RanNo:
		c.String(http.StatusServiceUnavailable, err.Error())
	case writer == nil:
		c.String(http.StatusInternalServerError, err.Error())
	}
}

func (server *Server) load(_ context.Context, c *app.RequestContext) {
	c.JSON(http.StatusOK, struct {
		Running, Waiting int
		Chunks           int64
	}{server.runner.Running(), server.runner.Waiting(), server.chunks.Load()})
}
