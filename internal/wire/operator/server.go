package operator

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/rosemaryspar/rosemaryspar/internal/wire/httpserver"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/tcp"
)

// maxBodyBytes is larger than the largest permitted change, so that a change that is too large is
// refused with a reason instead of by the HTTP server.
const maxBodyBytes = 1 << 20

// Server is the front end for operators.
type Server struct {
	http         *httpserver.Server
	dependencies Dependencies
}

// Listen listens on address ("IP:port") for operators and health checks.
func Listen(address string, dependencies Dependencies) (*Server, error) {
	hertz, err := httpserver.Listen(address, maxBodyBytes)
	if err != nil {
		return nil, err
	}
	server := &Server{http: hertz, dependencies: dependencies.withDefaults()}
	hertz.GET("/healthz", func(_ context.Context, c *app.RequestContext) { c.String(http.StatusOK, "alive") })
	hertz.GET("/readyz", server.ready)
	hertz.GET("/metrics", server.metrics)
	hertz.GET("/requests/:id", server.authenticated(server.explain))
	hertz.GET("/backends", server.authenticated(server.backends))
	hertz.GET("/config", server.authenticated(server.config))
	hertz.POST("/config", server.authenticated(server.commit))
	hertz.GET("/config/history", server.authenticated(server.history))
	hertz.GET("/config/changes", server.authenticated(server.effects))
	hertz.GET("/entries", server.authenticated(server.entries))
	hertz.GET("/quarantine", server.authenticated(server.quarantine))
	hertz.POST("/quarantine/release", server.authenticated(server.release))
	hertz.POST("/select", server.authenticated(server.selectDocuments))
	return server, nil
}

// Address returns the "IP:port" that the front end listens on.
func (server *Server) Address() string { return server.http.Address() }

// Guard returns the guard of the connections.
func (server *Server) Guard() *tcp.Guard { return server.http.Guard() }

// Serve answers requests until the context ends.
func (server *Server) Serve(ctx context.Context) error { return server.http.Serve(ctx) }

// outcome is the result of an action, for the log.
type outcome struct {
	result string
	// revision is the configuration revision that the action read or created.
	revision int64
	// change is the identifier of the change in a commit, empty for reads.
	change string
}

// action handles a request of an authenticated operator, who is given by name.
type action func(ctx context.Context, c *app.RequestContext, operator string) outcome

// authenticated returns a handler that performs an action for operators only, and logs the operator, the
// action and its outcome.
func (server *Server) authenticated(perform action) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		operator, ok := server.operator(string(c.GetHeader("Authorization")))
		var actionOutcome outcome
		if ok {
			actionOutcome = perform(ctx, c, operator)
		} else {
			actionOutcome = server.refuse(c, &Refusal{
				Status:  http.StatusUnauthorized,
				Message: `the Authorization header must be "Bearer KEY" with an operator's key`,
			})
		}
		event := server.dependencies.Logger.Info().Str("Operator", operator).Str("Action", string(c.Method())+" "+string(c.Path())).
			Int64("Revision", actionOutcome.revision).Str("Result", actionOutcome.result).Int("Status", c.Response.StatusCode())
		if actionOutcome.change != "" {
			event = event.Str("Change", actionOutcome.change)
		}
		event.Msg("operator action")
	}
}

// operator returns the name of the operator whose key an Authorization header contains.
//
// It compares the key with those of all operators in constant time, so that the time does not reveal
// anything about a key.
func (server *Server) operator(header string) (string, bool) {
	key, _ := strings.CutPrefix(header, "Bearer ")
	sum := sha256.Sum256([]byte(key))
	givenHash := []byte(hex.EncodeToString(sum[:]))
	name, found := "", false
	for hash, operator := range server.dependencies.Operators {
		if subtle.ConstantTimeCompare(givenHash, []byte(hash)) == 1 {
			name, found = operator, true
		}
	}
	return name, found
}

func (server *Server) ready(_ context.Context, c *app.RequestContext) {
	if !server.dependencies.Readiness.Ready() {
		c.String(http.StatusServiceUnavailable, "not ready")
		return
	}
	c.String(http.StatusOK, "ready")
}

func (server *Server) metrics(_ context.Context, c *app.RequestContext) {
	var text bytes.Buffer
	server.dependencies.Metrics.Write(&text)
	c.Data(http.StatusOK, "text/plain; version=0.0.4", text.Bytes())
}

// answer writes the answer to a read.
func (server *Server) answer(c *app.RequestContext, state State, body any) outcome {
	c.JSON(http.StatusOK, body)
	return outcome{result: "answered", revision: state.Revision}
}

// refuse writes a refusal and returns it as the outcome.
func (server *Server) refuse(c *app.RequestContext, refusal *Refusal) outcome {
	c.JSON(refusal.Status, refusal)
	return outcome{result: refusal.Message, revision: server.dependencies.Views.View().Config.Revision()}
}
