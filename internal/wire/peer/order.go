package peer

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/booking"
)

// result is the JSON encoding of the result of an order; exactly one field is set.
type result struct {
	Answer  *call.Answer  `json:",omitempty"`
	Refusal *call.Refusal `json:",omitempty"`
	Failure *call.Failure `json:",omitempty"`
}

// EncodeOrder returns the JSON encoding of an order that is forwarded to its leader.
func EncodeOrder(order booking.Order) ([]byte, error) {
	return json.Marshal(order)
}

// DecodeOrder decodes an order that [EncodeOrder] encoded.
func DecodeOrder(data []byte) (booking.Order, error) {
	var order booking.Order
	if err := json.Unmarshal(data, &order); err != nil {
		return booking.Order{}, fmt.Errorf("decode order: %w", err)
	}
	return order, nil
}

// EncodeResult returns the JSON encoding of a result.
//
// An error that is neither a refusal nor a failure does not report the outcome of the order;
// EncodeResult returns such an error.
func EncodeResult(outcome booking.Result) ([]byte, error) {
	var encoded result
	switch {
	case outcome.Err == nil:
		encoded.Answer = &outcome.Answer
	case errors.As(outcome.Err, &encoded.Refusal), errors.As(outcome.Err, &encoded.Failure):
	default:
		return nil, outcome.Err
	}
	return json.Marshal(encoded)
}

// DecodeResult decodes a result that [EncodeResult] encoded.
func DecodeResult(data []byte) (booking.Result, error) {
	var encoded result
	if err := json.Unmarshal(data, &encoded); err != nil {
		return booking.Result{}, fmt.Errorf("decode result: %w", err)
	}
	var outcome booking.Result
	switch {
	case encoded.Refusal != nil:
		outcome.Err = encoded.Refusal
	case encoded.Failure != nil:
		outcome.Err = encoded.Failure
	case encoded.Answer != nil:
		outcome.Answer = *encoded.Answer
	default:
		return outcome, errors.New("result: contains neither an answer, a refusal nor a failure")
	}
	return outcome, nil
}
