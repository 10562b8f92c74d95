package service

import (
	"context"
	"maps"
	"net/http"
	"strconv"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/runner"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/httpserver"
)

const maxBodyBytes = 1 << 20

// Server is a plain service that runs each operation on a [runner.Runner] and records the runs per idempotency key.
type Server struct {
	http   *httpserver.Server
	runner *runner.Runner
	keys   *rcu.Cell[map[string]keyState]
}

// keyState is the number of runs for one idempotency key and the answer to the first of them.
type keyState struct {
	runs   int
	answer call.Answer
}

// Listen opens address for a service whose answers, timing and crashes are those of runner.
func Listen(address string, runner *runner.Runner) (*Server, error) {
	http, err := httpserver.Listen(address, maxBodyBytes)
	if err != nil {
		return nil, err
	}
	server := &Server{http: http, runner: runner, keys: rcu.New(map[string]keyState{})}
	http.GET("/status", server.status)
	http.GET("/runs", server.runs)
	http.GET("/load", server.load)
	http.NoRoute(server.operate)
	return server, nil
}

// Address returns the address that the service listens on, as "IP:port".
func (server *Server) Address() string { return server.http.Address() }

// Serve answers requests until the context ends.
func (server *Server) Serve(ctx context.Context) error { return server.http.Serve(ctx) }

// Runs returns how often operations with the idempotency key ran to completion.
func (server *Server) Runs(key string) int { return server.keys.Load()[key].runs }

// operate runs an operation and, if it has an idempotency key, records the run.
func (server *Server) operate(ctx context.Context, c *app.RequestContext) {
	operation := call.Operation{
		Method: string(c.Method()),
		Path:   string(c.Path()),
		Body:   append([]byte(nil), c.Request.Body()...),
	}
	c.Header("X-Request-Id", string(c.GetHeader("X-Request-Id")))
	answer, err := server.runner.Do(ctx, operation, 0)
	if err != nil {
		c.String(http.StatusInternalServerError, err.Error())
		return
	}
	if key := string(c.GetHeader("Idempotency-Key")); key != "" {
		server.record(key, answer)
	}
	c.Data(answer.Status, answer.ContentType, answer.Body)
}

func (server *Server) record(key string, answer call.Answer) {
	server.keys.Update(func(keys map[string]keyState) map[string]keyState {
		next := maps.Clone(keys)
		state := next[key]
		if state.runs == 0 {
			state.answer = answer
		}
		state.runs++
		next[key] = state
		return next
	})
}

func (server *Server) status(_ context.Context, c *app.RequestContext) {
	state, ok := server.keys.Load()[c.Query("key")]
	if !ok {
		c.String(http.StatusNotFound, "no operation has this key")
		return
	}
	c.Data(state.answer.Status, state.answer.ContentType, state.answer.Body)
}

func (server *Server) runs(_ context.Context, c *app.RequestContext) {
	c.String(http.StatusOK, strconv.Itoa(server.Runs(c.Query("key"))))
}

func (server *Server) load(_ context.Context, c *app.RequestContext) {
	c.JSON(http.StatusOK, struct{ Running, Waiting int }{server.runner.Running(), server.runner.Waiting()})
}
