package service

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

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
func New(dialTimeout time.Duration) (*Client, error) {
	reuse, err := httpclient.New(dialTimeout, httpclient.Reuse)
	if err != nil {
		return nil, err
	}
	fresh, err := httpclient.New(dialTimeout, httpclient.Fresh)
	if err != nil {
		return nil, err
	}
	return &Client{reuse: reuse, fresh: fresh}, nil
}

// Do sends an operation and returns the service's answer, whatever its status.
//
// It returns a [*call.Failure] when no answer came, or when the status says that
// the service did not take the work.
func (client *Client) Do(ctx context.Context, server backend.Server, next call.Request) (call.Answer, error) {
	outgoing, incoming := protocol.AcquireRequest(), &protocol.Response{}
	outgoing.SetMethod(next.Operation.Method)
	outgoing.SetRequestURI("http://" + server.Address + next.Operation.Path)
	outgoing.Header.Set("X-Request-Id", next.ID)
	if next.Operation.ContentType != "" {
		outgoing.Header.SetContentTypeBytes([]byte(next.Operation.ContentType))
	}
	connections := client.reuse
	if next.IdempotencyKey != "" {
		outgoing.Header.Set("Idempotency-Key", next.IdempotencyKey)
		connections = client.fresh
	}
	outgoing.SetBody(next.Operation.Body)
	if err := connections.Do(ctx, outgoing, incoming); err != nil {
		return call.Answer{}, httpclient.Failure(ctx, err, step, server.Name)
	}
	body, err := incoming.BodyE()
	if err != nil {
		return call.Answer{}, httpclient.Failure(ctx, err, step, server.Name)
	}
	status := incoming.StatusCode()
	if httpclient.Busy(status) {
		return call.Answer{}, httpclient.StatusFailure(status, body, step, server.Name)
	}
	if len(body) > maxAnswerBytes {
		return call.Answer{}, &call.Failure{Ran: call.RanYes, Cause: call.CauseMalformed, Step: step, Peer: server.Name, Detail: "answer is larger than 256 KiB"}
	}
	return call.Answer{Status: status, ContentType: string(incoming.Header.ContentType()), Body: body}, nil
}
