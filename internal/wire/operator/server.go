package operator

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"io"
	"net/http"
	"strings"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/rs/zerolog"

	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/httpserver"
)

const maxBody = 1 << 20

// Life tells whether the balancer should send requests.
type Life interface {
	Ready() bool
}

// Views gives the current snapshots.
type Views interface {
	View() request.View
}

// Journal finds the results of recent requests.
type Journal interface {
	Find(id string) []request.Result
}

// Metrics writes the metrics in the Prometheus text format.
type Metrics interface {
	Write(output io.Writer)
}

// Parts are what the front end shows and changes.
type Parts struct {
	// Name is the entry's name.
	Name string
	// Operators maps the hex SHA-256 of each operator's key to the operator's name.
	Operators map[string]string
	Life      Life
	Views     Views
	Journal   Journal
	Metrics   Metrics
	Logger    zerolog.Logger
}

// Server is the front end for operators.
type Server struct {
	http  *httpserver.Server
	parts Parts
}

// Listen opens address for operators.
func Listen(address string, parts Parts) (*Server, error) {
	hertz, err := httpserver.Listen(address, maxBody)
	if err != nil {
		return nil, err
	}
	server := &Server{http: hertz, parts: parts}
	hertz.GET("/healthz", func(_ context.Context, c *app.RequestContext) { c.String(http.StatusOK, "alive") })
	hertz.GET("/readyz", server.ready)
	hertz.GET("/metrics", server.metrics)
	hertz.GET("/requests/:id", server.authenticated(server.explain))
	hertz.GET("/backends", server.authenticated(server.backends))
	hertz.GET("/config", server.authenticated(server.config))
	return server, nil
}

// Address returns the address that the front end listens on.
func (server *Server) Address() string { return server.http.Address() }

// Serve answers requests until the context ends.
func (server *Server) Serve(ctx context.Context) error { return server.http.Serve(ctx) }

// action is a request of an operator who is known by name.
type action func(ctx context.Context, c *app.RequestContext, operator string)

// authenticated lets only operators do an action, and logs who did what with which result.
func (server *Server) authenticated(do action) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		operator, ok := server.operator(string(c.GetHeader("Authorization")))
		if !ok {
			writeError(c, http.StatusUnauthorized, `the Authorization header must be "Bearer KEY" with an operator's key`)
			return
		}
		do(ctx, c, operator)
		server.parts.Logger.Info().Str("Operator", operator).Str("Action", string(c.Method())+" "+string(c.Path())).
			Int64("Revision", server.parts.Views.View().Config.Revision()).Int("Status", c.Response.StatusCode()).Msg("operator action")
	}
}

// operator compares with every known key in constant time, so that the time tells nothing about a key.
func (server *Server) operator(header string) (string, bool) {
	key, _ := strings.CutPrefix(header, "Bearer ")
	sum := sha256.Sum256([]byte(key))
	given := []byte(hex.EncodeToString(sum[:]))
	name, found := "", false
	for hash, operator := range server.parts.Operators {
		if subtle.ConstantTimeCompare(given, []byte(hash)) == 1 {
			name, found = operator, true
		}
	}
	return name, found
}

func (server *Server) ready(_ context.Context, c *app.RequestContext) {
	if !server.parts.Life.Ready() {
		c.String(http.StatusServiceUnavailable, "not ready")
		return
	}
	c.String(http.StatusOK, "ready")
}

func (server *Server) metrics(_ context.Context, c *app.RequestContext) {
	var text bytes.Buffer
	server.parts.Metrics.Write(&text)
	c.Data(http.StatusOK, "text/plain; version=0.0.4", text.Bytes())
}

func writeError(c *app.RequestContext, status int, message string) {
	c.JSON(status, struct{ Error string }{message})
}
