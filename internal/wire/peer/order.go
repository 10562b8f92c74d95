package peer

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/booking"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/strictjson"
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
//
// It returns an error for anything else, after which the outcome of the order is unknown: a refusal means that the order did not run, and
// an answer that it did.
func DecodeResult(data []byte) (booking.Result, error) {
	var encoded result
	if err := strictjson.Decode(data, &encoded); err != nil {
		return booking.Result{}, fmt.Errorf("decode result: %w", err)
	}
	if err := encoded.check(); err != nil {
		return booking.Result{}, fmt.Errorf("result: %w", err)
	}
	var outcome booking.Result
	switch {
	case encoded.Refusal != nil:
		outcome.Err = encoded.Refusal
	case encoded.Failure != nil:
		outcome.Err = encoded.Failure
	default:
		outcome.Answer = *encoded.Answer
	}
	return outcome, nil
}

// check returns an error unless exactly one field is set, and has what each sound one has.
func (result result) check() error {
	count := 0
	for _, isSet := range []bool{result.Answer != nil, result.Refusal != nil, result.Failure != nil} {
		if isSet {
			count++
		}
	}
	switch {
	case count == 0:
		return errors.New("contains neither an answer, a refusal nor a failure")
	case count > 1:
		return fmt.Errorf("contains %d of an answer, a refusal and a failure", count)
	case result.Answer != nil && !call.IsAnswerStatus(result.Answer.Status):
		return fmt.Errorf("an answer of status %d", result.Answer.Status)
	case result.Refusal != nil && result.Refusal.Reason == "":
		return errors.New("a refusal without a reason")
	case result.Failure != nil && !slices.Contains([]call.Ran{call.RanNo, call.RanYes, call.RanUnknown}, result.Failure.Ran):
		return fmt.Errorf("a failure of work that ran: %q", result.Failure.Ran)
	}
	return nil
}
