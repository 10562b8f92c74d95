package share

import (
	"context"
	"errors"
	"time"
)

// ExchangeKind is the purpose of a message to a peer.
type ExchangeKind string

// The kinds of exchanges.
const (
	// ExchangeState is a message with the state of the sender and, in the reply, that of the peer.
	ExchangeState ExchangeKind = "State"
	// ExchangePush is a message that only passes on what was read from the store.
	ExchangePush ExchangeKind = "Push"
)

// ExchangeResult is how an exchange with a peer ended.
type ExchangeResult string

// The results of exchanges.
const (
	ExchangeAnswered ExchangeResult = "Answered"
	ExchangeTimeout  ExchangeResult = "Timeout"
	ExchangeFailed   ExchangeResult = "Failed"
)

// ExchangeRecord is one exchange that has ended, for logs and metrics.
type ExchangeRecord struct {
	Kind ExchangeKind
	// Address is that of the peer.
	Address string
	Result  ExchangeResult
	// ContentBytes is the size of the store's data in the message, which the peer has if the exchange was answered.
	ContentBytes int
	Duration     time.Duration
	// Err is nil if the exchange was answered.
	Err error
}

// send sends a message to a peer and records how the exchange ended.
func (syncer *Syncer) send(ctx context.Context, kind ExchangeKind, address string, message StateMessage) (Reply, error) {
	startedAt := syncer.shared.clock.Now()
	reply, err := syncer.client.Exchange(ctx, address, message)
	syncer.entry.HandleExchange(ExchangeRecord{
		Kind: kind, Address: address, Result: exchangeResult(ctx, err), Err: err,
		ContentBytes: message.Routes.contentBytes() + message.Servers.contentBytes(),
		Duration:     syncer.shared.clock.Now() - startedAt,
	})
	return reply, err
}

// exchangeResult returns the result of an exchange that ended with err.
func exchangeResult(ctx context.Context, err error) ExchangeResult {
	switch {
	case err == nil:
		return ExchangeAnswered
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return ExchangeTimeout
	}
	return ExchangeFailed
}
