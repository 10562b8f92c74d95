package service

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/httpclient"
)

// stepOperate is the step of an operation in failures.
const stepOperate = "operate"

// maxAnswerBytes bounds the answer of a plain service, because a booking record stores it.
const maxAnswerBytes = 1 << 18

// Client sends operations to plain services; several threads may use it.
type Client struct {
	// reusing reuses connections; dialling opens a new one for each call.
	reusing, dialling *httpclient.Client
}

// New returns a client whose attempts to connect time out after dialTimeout.
func New(dialTimeout time.Duration) *Client {
	return &Client{
		reusing:  httpclient.New(dialTimeout, httpclient.Reuse),
		dialling: httpclient.New(dialTimeout, httpclient.Fresh),
	}
}

// Do sends an operation and returns the service's answer with any status except the busy ones.
//
// It returns a [*call.Failure] when no complete answer arrives, when the status means that
// the service is too busy to run the operation, and when the answer is malformed or too large.
func (client *Client) Do(ctx context.Context, server backend.Server, request call.Request) (call.Answer, error) {
	header := http.Header{}
	if request.Operation.ContentType != "" {
		header.Set("Content-Type", request.Operation.ContentType)
	}
	connections := client.reusing
	if request.IdempotencyKey != "" {
		header.Set("Idempotency-Key", serviceKey(request))
		connections = client.dialling
	}
	response, err := connections.Do(ctx, httpclient.Call{
		Method: request.Operation.Method,
		URL:    "http://" + server.Address + request.Operation.Path,
		Header: header,
		Body:   request.Operation.Body,
		ID:     request.ID,
	})
	if err != nil {
		return call.Answer{}, httpclient.ClassifyError(ctx, err, stepOperate, server.Name)
	}
	defer response.Body.Close()
	if !call.IsAnswerStatus(response.StatusCode) {
		detail := fmt.Sprintf("status %d is that of no answer", response.StatusCode)
		return call.Answer{}, &call.Failure{Ran: call.RanUnknown, Cause: call.CauseMalformed, Step: stepOperate, Peer: server.Name, Detail: detail}
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return call.Answer{}, httpclient.ClassifyError(ctx, err, stepOperate, server.Name)
	}
	if httpclient.Busy(response.StatusCode) {
		return call.Answer{}, httpclient.ClassifyStatus(response.StatusCode, body, stepOperate, server.Name)
	}
	if len(body) > maxAnswerBytes {
		return call.Answer{}, &call.Failure{Ran: call.RanYes, Cause: call.CauseMalformed, Step: stepOperate, Peer: server.Name, Detail: "answer is larger than 256 KiB"}
	}
	return call.Answer{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body}, nil
}
