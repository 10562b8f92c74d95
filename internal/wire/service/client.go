package service

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/httpclient"
)

const step = "operate"

// maxAnswerBytes bounds the answer of a plain service, so that it fits into a booking record.
const maxAnswerBytes = 1 << 18

// Client sends operations to plain services; several threads may use it.
type Client struct {
	reuse, fresh *httpclient.Client
}

// New returns a client that gives up connecting after dialTimeout.
func New(dialTimeout time.Duration) *Client {
	return &Client{
		reuse: httpclient.New(dialTimeout, httpclient.Reuse),
		fresh: httpclient.New(dialTimeout, httpclient.Fresh),
	}
}

// Do sends an operation and returns the service's answer, whatever its status.
//
// It returns a [*call.Failure] when no answer came, or when the status says that
// the service did not take the work.
func (client *Client) Do(ctx context.Context, server backend.Server, next call.Request) (call.Answer, error) {
	header := http.Header{"X-Request-Id": {next.ID}}
	if next.Operation.ContentType != "" {
		header.Set("Content-Type", next.Operation.ContentType)
	}
	connections := client.reuse
	if next.IdempotencyKey != "" {
		header.Set("Idempotency-Key", serviceKey(next))
		connections = client.fresh
	}
	incoming, err := connections.Do(ctx, httpclient.Call{
		Method: next.Operation.Method,
		URL:    "http://" + server.Address + next.Operation.Path,
		Header: header,
		Body:   next.Operation.Body,
	})
	if err != nil {
		return call.Answer{}, httpclient.Failure(ctx, err, step, server.Name)
	}
	defer incoming.Body.Close()
	body, err := io.ReadAll(io.LimitReader(incoming.Body, maxAnswerBytes+1))
	if err != nil {
		return call.Answer{}, httpclient.Failure(ctx, err, step, server.Name)
	}
	if httpclient.Busy(incoming.StatusCode) {
		return call.Answer{}, httpclient.StatusFailure(incoming.StatusCode, body, step, server.Name)
	}
	if len(body) > maxAnswerBytes {
		return call.Answer{}, &call.Failure{Ran: call.RanYes, Cause: call.CauseMalformed, Step: step, Peer: server.Name, Detail: "answer is larger than 256 KiB"}
	}
	return call.Answer{Status: incoming.StatusCode, ContentType: incoming.Header.Get("Content-Type"), Body: body}, nil
}
