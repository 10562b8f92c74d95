package peer

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/booking"
)

// result is the form of a booking's result between entries: an answer, a refusal or a failure.
type result struct {
	Answer  *call.Answer  `json:",omitempty"`
	Refusal *call.Refusal `json:",omitempty"`
	Failure *call.Failure `json:",omitempty"`
}

// EncodeOrder returns the form of an order between entries.
func EncodeOrder(order booking.Order) ([]byte, error) {
	return json.Marshal(order)
}

// DecodeOrder reads the form of an order between entries.
func DecodeOrder(data []byte) (booking.Order, error) {
	var order booking.Order
	if err := json.Unmarshal(data, &order); err != nil {
		return booking.Order{}, fmt.Errorf("order: %w", err)
	}
	return order, nil
}

// EncodeResult returns the form of a result, or an error for a fault that says nothing about the order.
func EncodeResult(ended booking.Result) ([]byte, error) {
	var encoded result
	switch {
	case ended.Err == nil:
		encoded.Answer = &ended.Answer
	case errors.As(ended.Err, &encoded.Refusal), errors.As(ended.Err, &encoded.Failure):
	default:
		return nil, ended.Err
	}
	return json.Marshal(encoded)
}

// DecodeResult reads the form of a result.
func DecodeResult(data []byte) (booking.Result, error) {
	var encoded result
	if err := json.Unmarshal(data, &encoded); err != nil {
		return booking.Result{}, fmt.Errorf("result: %w", err)
	}
	var ended booking.Result
	switch {
	case encoded.Refusal != nil:
		ended.Err = encoded.Refusal
	case encoded.Failure != nil:
		ended.Err = encoded.Failure
	case encoded.Answer != nil:
		ended.Answer = *encoded.Answer
	default:
		return ended, errors.New("result: neither answer, refusal nor failure")
	}
	return ended, nil
}
