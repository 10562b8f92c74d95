package booking

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/booking"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// StatusClient sends status calls to plain services.
type StatusClient interface {
	// Status queries the exchange's service, at its StatusPath, for the state of the request's idempotency key.
	Status(ctx context.Context, exchange request.Exchange) (Status, error)
}

// AtMostOnce returns a filter that executes requests at most once per idempotency key.
//
// It applies to services whose work must not be repeated; requests to other
// services pass through. The handlers after the filter send the order to the
// service. The argument statuses may be nil if no service has a status call.
func AtMostOnce(ledger *Ledger, statuses StatusClient) request.Filter {
	return func(next request.Handler) request.Handler {
		return request.HandlerFunc(func(ctx context.Context, exchange request.Exchange) (request.Exchange, error) {
			if !requiresAtMostOnce(exchange.Service) {
				return next.Handle(ctx, exchange)
			}
			if exchange.Request.IdempotencyKey == "" {
				return exchange, call.Refuse(call.ReasonKeyMissing, "service %s needs an Idempotency-Key", exchange.Service.Name)
			}
			sender := &chainSender{next: next, statuses: statuses, exchange: exchange}
			answer, err := ledger.Execute(ctx, orderOf(exchange), sender)
			decision := request.Decision{At: time.Now(), Step: stepBooking, Reason: sender.reason()}
			return sender.exchange.WithAnswer(answer).WithDecision(decision), err
		})
	}
}

// requiresAtMostOnce reports whether the service requires at-most-once execution.
func requiresAtMostOnce(service config.Service) bool {
	return service.Repeat == config.RepeatNever || service.Repeat == config.RepeatByKey
}

func orderOf(exchange request.Exchange) Order {
	return Order{
		Key:      booking.Key{Account: exchange.Request.Account, IdempotencyKey: exchange.Request.IdempotencyKey},
		BodyHash: bodyHash(exchange.Request),
		ByKey:    exchange.Service.Repeat == config.RepeatByKey,
		Deadline: exchange.Request.Deadline,
		Request:  exchange.Request,
	}
}

// bodyHash returns a hash of everything that distinguishes two orders.
func bodyHash(order call.Request) string {
	hash := sha256.New()
	for _, part := range []string{order.Service, order.Operation.Method, order.Operation.Path, order.Operation.ContentType} {
		hash.Write([]byte(part + "\x00"))
	}
	hash.Write(order.Operation.Body)
	return hex.EncodeToString(hash.Sum(nil))
}

// chainSender is the [Sender] that sends an order through the remaining handlers of the chain.
// Only one goroutine may use it.
type chainSender struct {
	next     request.Handler
	statuses StatusClient
	exchange request.Exchange
	sent     bool
}

// Send passes the exchange to the next handler and returns its answer.
func (sender *chainSender) Send(ctx context.Context) (call.Answer, error) {
	sender.sent = true
	exchange, err := sender.next.Handle(ctx, sender.exchange)
	sender.exchange = exchange
	return exchange.Answer, err
}

// Status sends a status call, or returns [StatusUnsupported] if the service has none.
func (sender *chainSender) Status(ctx context.Context) (Status, error) {
	if sender.statuses == nil || sender.exchange.Service.StatusPath == "" {
		return Status{State: StatusUnsupported}, nil
	}
	return sender.statuses.Status(ctx, sender.exchange)
}

// reason returns the reason of the decision that this step records for the request.
func (sender *chainSender) reason() string {
	if sender.sent {
		return "Dispatched"
	}
	return "NotDispatched"
}
