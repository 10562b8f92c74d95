package service

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/booking"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// statusTimeout is short because a caller waits for the status call.
const statusTimeout = 2 * time.Second

// StatusClient is a client for status calls.
type StatusClient struct {
	client *Client
	random backend.Random
}

// NewStatusClient returns a client that sends each status call to a random backend server of the service.
func NewStatusClient(client *Client, random backend.Random) *StatusClient {
	return &StatusClient{client: client, random: random}
}

// Status returns the outcome of the operation with the request's idempotency key.
//
// A server that answers 404 has not received the operation, which may still be in transit.
// Only 410 means that the operation did not run and never will.
func (statusClient *StatusClient) Status(ctx context.Context, exchange request.Exchange) (booking.Status, error) {
	candidates := exchange.View.Fleet.Candidates(exchange.Service.Name)
	if len(candidates) == 0 {
		return booking.Status{}, call.Refuse(call.ReasonNoBackend, "no backend server for service %s takes status calls", exchange.Service.Name)
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	answer, err := statusClient.client.Do(ctx, candidates[statusClient.random.IntN(len(candidates))], call.Request{
		ID:        exchange.Request.ID,
		Operation: call.Operation{Method: http.MethodGet, Path: statusTarget(exchange)},
	})
	if err != nil {
		return booking.Status{}, err
	}
	switch answer.Status {
	case http.StatusOK:
		return booking.Status{State: booking.StatusDone, Answer: answer}, nil
	case http.StatusGone:
		return booking.Status{State: booking.StatusClosed}, nil
	}
	return booking.Status{State: booking.StatusPending}, nil
}

// statusTarget returns the path and query of a status call.
func statusTarget(exchange request.Exchange) string {
	separator := "?"
	if strings.Contains(exchange.Service.StatusPath, "?") {
		separator = "&"
	}
	return exchange.Service.StatusPath + separator + "key=" + url.QueryEscape(serviceKey(exchange.Request))
}

// serviceKey returns the idempotency key that is sent to the service.
//
// It includes the client account, since two accounts may choose the same key.
func serviceKey(callRequest call.Request) string {
	return callRequest.Account + "/" + callRequest.IdempotencyKey
}
