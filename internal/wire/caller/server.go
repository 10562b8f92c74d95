package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/google/uuid"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/httpserver"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/openai"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/tcp"
)

// servicesPrefix is the path under which callers address plain services.
const servicesPrefix = "/services/"

// maxIDBytes bounds the request id and the idempotency key, which are stored in records and logs.
const maxIDBytes = 200

// Server is the front end for callers.
type Server struct {
	http    *httpserver.Server
	handler request.Handler
}

// Listen listens on address for requests with bodies of at most maxBody bytes, which handler answers.
func Listen(address string, maxBody int, handler request.Handler) (*Server, error) {
	http, err := httpserver.Listen(address, maxBody)
	if err != nil {
		return nil, err
	}
	server := &Server{http: http, handler: handler}
	http.POST(openai.CompletionsPath, func(ctx context.Context, c *app.RequestContext) { server.handleCompletion(ctx, c, false) })
	http.POST(openai.ChatPath, func(ctx context.Context, c *app.RequestContext) { server.handleCompletion(ctx, c, true) })
	http.Any(servicesPrefix+":service/*path", server.handleOperation)
	http.NoRoute(func(_ context.Context, c *app.RequestContext) {
		writeRefusal(c, call.Refuse(call.ReasonUnknownService, "no such path: %s", c.Path()))
	})
	return server, nil
}

// Close closes the address of a front end that does not serve.
func (server *Server) Close() error { return server.http.CloseListener() }

// Address returns the "IP:port" that the front end listens on.
func (server *Server) Address() string { return server.http.Address() }

// Guard returns the guard of the connections.
func (server *Server) Guard() *tcp.Guard { return server.http.Guard() }

// Serve answers requests until the context ends.
func (server *Server) Serve(ctx context.Context) error { return server.http.Serve(ctx) }

// handleCompletion answers a request to a model engine.
func (server *Server) handleCompletion(ctx context.Context, c *app.RequestContext, chat bool) {
	callRequest, refusal := newRequest(c)
	if refusal != nil {
		writeRefusal(c, refusal)
		return
	}
	body := append([]byte(nil), c.Request.Body()...)
	decoded, err := openai.DecodeRequest(body, chat)
	if err != nil {
		writeRefusal(c, call.Refuse(call.ReasonMalformed, "%v", err))
		return
	}
	callRequest.Service = decoded.Model
	callRequest.Completion = decoded.Completion(body, chat)
	callRequest.Stream = decoded.Stream
	if callRequest.Stream {
		callRequest.Received, refusal = receivedTokens(c)
	}
	if refusal != nil {
		writeRefusal(c, refusal)
		return
	}
	head := openai.Head{ID: callRequest.ID, Model: decoded.Model, Chat: chat, Created: callRequest.Arrived.Unix()}
	if callRequest.Stream {
		server.stream(ctx, c, callRequest, head)
		return
	}
	server.collect(ctx, c, callRequest, head)
}

// handleOperation answers a request to a plain service.
func (server *Server) handleOperation(ctx context.Context, c *app.RequestContext) {
	callRequest, refusal := newRequest(c)
	if refusal != nil {
		writeRefusal(c, refusal)
		return
	}
	service, path := operationTarget(c)
	callRequest.Service = service
	callRequest.Operation = call.Operation{
		Method:      string(c.Method()),
		Path:        path,
		ContentType: string(c.ContentType()),
		Body:        append([]byte(nil), c.Request.Body()...),
	}
	exchange, err := server.handler.Handle(ctx, request.Exchange{Request: callRequest})
	if err != nil {
		writeError(c, err)
		return
	}
	c.Data(exchange.Answer.Status, exchange.Answer.ContentType, exchange.Answer.Body)
}

// operationTarget returns the service's name, and the path and query after the name as the caller sent them.
//
// The path stays escaped, since the service may distinguish "%2F" from "/".
func operationTarget(c *app.RequestContext) (service, path string) {
	target := strings.TrimPrefix(string(c.URI().PathOriginal()), servicesPrefix)
	service, path, _ = strings.Cut(target, "/")
	path = "/" + path
	if query := c.URI().QueryString(); len(query) > 0 {
		path += "?" + string(query)
	}
	return service, path
}

// newRequest returns a request with the fields that completions and operations have in common, or a refusal.
//
// It also sets X-Request-Id of the answer; a request without an id gets a new one.
func newRequest(c *app.RequestContext) (call.Request, *call.Refusal) {
	key, found := strings.CutPrefix(string(c.GetHeader("Authorization")), "Bearer ")
	if !found || key == "" {
		return call.Request{}, call.Refuse(call.ReasonUnauthenticated, `the Authorization header must be "Bearer KEY"`)
	}
	hash := sha256.Sum256([]byte(key))
	callRequest := call.Request{
		ID:             string(c.GetHeader("X-Request-Id")),
		KeyHash:        hex.EncodeToString(hash[:]),
		IdempotencyKey: string(c.GetHeader("Idempotency-Key")),
		Arrived:        time.Now(),
	}
	if len(callRequest.ID) > maxIDBytes || len(callRequest.IdempotencyKey) > maxIDBytes {
		return call.Request{}, call.Refuse(call.ReasonMalformed, "X-Request-Id and Idempotency-Key must have at most %d bytes", maxIDBytes)
	}
	callRequest.Named = callRequest.ID != ""
	if !callRequest.Named {
		callRequest.ID = uuid.NewString()
	}
	c.Header("X-Request-Id", callRequest.ID)
	return callRequest, nil
}

// receivedTokens returns the number of answer tokens that the caller of a repeat has received, or a refusal.
//
// The caller sends it as the id of the last event that it received, in a header: a field
// of the body would change the body, which must be the same in a repeat.
func receivedTokens(c *app.RequestContext) (int, *call.Refusal) {
	lastEventID := string(c.GetHeader("Last-Event-ID"))
	if lastEventID == "" {
		return 0, nil
	}
	tokens, err := strconv.Atoi(lastEventID)
	if err != nil || tokens < 0 {
		return 0, call.Refuse(call.ReasonMalformed, "Last-Event-ID %q is not a number of tokens", lastEventID)
	}
	return tokens, nil
}
