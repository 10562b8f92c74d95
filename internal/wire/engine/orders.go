package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/fault"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/order"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/httpclient"
)

const (
	stepOrder = "order"
	stepState = "order state"
	// maxStateBytes bounds the state of an engine, which takes about 100 bytes for each of some thousand adapters.
	maxStateBytes = 1 << 20
)

// OrderClient sends orders to model engines; several threads may use it.
type OrderClient struct {
	http *httpclient.Client
}

// NewOrderClient returns a client whose attempts to connect time out after dialTimeout.
func NewOrderClient(dialTimeout time.Duration) *OrderClient {
	return &OrderClient{http: httpclient.New(dialTimeout, httpclient.Fresh)}
}

// SendOrder sends an order with its fencing number and returns the outcome; the error is nil only for OutcomeDone.
func (orderClient *OrderClient) SendOrder(ctx context.Context, server order.Server, fencingNumber int64, newOrder order.Order) (order.Outcome, error) {
	body, err := EncodeOrder(fencingNumber, newOrder)
	if err != nil {
		return order.OutcomeNotSent, fault.Wrap(err, stepOrder, server.Name)
	}
	if ctx.Err() != nil {
		return order.OutcomeNotSent, fault.Wrap(ctx.Err(), stepOrder, server.Name)
	}
	status, answer, err := orderClient.roundTrip(ctx, httpclient.Call{
		Method: http.MethodPost,
		URL:    "http://" + server.Address + OrdersPath,
		Header: http.Header{"Content-Type": {"application/json"}},
		Body:   body,
	})
	if err != nil {
		return classify(httpclient.ClassifyError(ctx, err, stepOrder, server.Name))
	}
	switch status {
	case http.StatusOK, http.StatusAccepted, http.StatusNoContent:
		return order.OutcomeDone, nil
	case http.StatusConflict:
		var stale staleMessage
		if json.Unmarshal(answer, &stale) == nil && stale.Fencing > fencingNumber {
			return order.OutcomeStale, fault.New(stepOrder, server.Name, "fencing number %d is older than %d", fencingNumber, stale.Fencing)
		}
	}
	return classify(httpclient.ClassifyStatus(status, answer, stepOrder, server.Name))
}

// ReadState returns an engine's state; errors carry the step and the server's name.
func (orderClient *OrderClient) ReadState(ctx context.Context, server order.Server) (order.ServerState, error) {
	status, answer, err := orderClient.roundTrip(ctx, httpclient.Call{
		Method: http.MethodGet,
		URL:    "http://" + server.Address + StatePath,
		Header: http.Header{"Accept": {"application/json"}},
	})
	if err != nil {
		return order.ServerState{}, httpclient.ClassifyError(ctx, err, stepState, server.Name)
	}
	if status != http.StatusOK {
		return order.ServerState{}, httpclient.ClassifyStatus(status, answer, stepState, server.Name)
	}
	state, err := DecodeState(answer)
	return state, fault.Wrap(err, stepState, server.Name)
}

// roundTrip sends a request and returns the status and at most maxStateBytes of the body of the answer.
func (orderClient *OrderClient) roundTrip(ctx context.Context, request httpclient.Call) (int, []byte, error) {
	response, err := orderClient.http.Do(ctx, request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxStateBytes))
	return response.StatusCode, answer, err
}

// classify returns the outcome of an order that failed.
func classify(failure *call.Failure) (order.Outcome, error) {
	if failure.Ran == call.RanNo {
		return order.OutcomeNotSent, failure
	}
	return order.OutcomeUnknown, failure
}
