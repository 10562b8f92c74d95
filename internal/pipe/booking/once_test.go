package booking_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	fakekv "github.com/rosemaryspar/rosemaryspar/internal/fake/kv"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/booking"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/kvlog"
)

// Guards against requests that bypass the ledger although they must run at most once, and against
// requests that pass through the ledger although they may be repeated.
func TestOnceFilter(t *testing.T) {
	cases := []struct {
		name   string
		repeat config.RepeatPolicy
		// keys and bodies hold the idempotency key and the body of each request, in order.
		keys, bodies []string
		runs         int
		reason       call.Reason
	}{
		{"lookups pass", config.RepeatIdempotent, []string{"", ""}, []string{"x", "x"}, 2, ""},
		{"no key", config.RepeatNever, []string{""}, []string{"x"}, 0, call.ReasonKeyMissing},
		{"no key, by key", config.RepeatByKey, []string{""}, []string{"x"}, 0, call.ReasonKeyMissing},
		{"repeat", config.RepeatNever, []string{"k", "k", "k"}, []string{"x", "x", "x"}, 1, ""},
		{"other key", config.RepeatNever, []string{"k", "l"}, []string{"x", "x"}, 2, ""},
		{"other body", config.RepeatNever, []string{"k", "k"}, []string{"x", "y"}, 1, call.ReasonKeyConflict},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, 2, defaultSettings, func(t *testing.T, fleet fleet) {
				serviceHandler := request.HandlerFunc(func(_ context.Context, exchange request.Exchange) (request.Exchange, error) {
					return exchange.WithAnswer(fleet.service.run("all")), nil
				})
				var err error
				var firstExchange, lastExchange request.Exchange
				for turn := range c.keys {
					path := request.Chain(serviceHandler, booking.AtMostOnce(fleet.ledgers[turn%2], nil))
					exchange := request.Exchange{
						Service: config.Service{Name: "s", Protocol: config.ProtocolPlain, Repeat: c.repeat},
						Request: call.Request{
							Account: "a", IdempotencyKey: c.keys[turn], Deadline: time.Now().Add(time.Minute),
							Operation: call.Operation{Method: "POST", Path: "/", Body: []byte(c.bodies[turn])},
						},
					}
					lastExchange, err = path.Handle(t.Context(), exchange)
					if turn == 0 {
						firstExchange = lastExchange
					}
				}
				assert.Equal(t, c.runs, fleet.runs("all"))
				if c.reason != "" {
					var refusal *call.Refusal
					require.ErrorAs(t, err, &refusal)
					assert.Equal(t, c.reason, refusal.Reason)
					return
				}
				require.NoError(t, err)
				assert.Equal(t, c.runs == 1, string(firstExchange.Answer.Body) == string(lastExchange.Answer.Body))
			})
		})
	}
}

// forwardingLeader forwards orders to one ledger, whose answers may be lost.
type forwardingLeader struct {
	ledger      *booking.Ledger
	sender      *sender
	losesAnswer bool
}

func (leader forwardingLeader) Forward(ctx context.Context, _ int, order booking.Order) (booking.Result, booking.ForwardOutcome) {
	answer, err := leader.ledger.Execute(ctx, order, leader.sender)
	if leader.losesAnswer {
		return booking.Result{}, booking.ForwardUncertain
	}
	return booking.Result{Answer: answer, Err: err}, booking.ForwardAnswered
}

func (leader forwardingLeader) HasEnded(string) bool { return false }

// Guards against a second run when the leader's answer to a forwarded order is lost.
func TestForwardedOrderRunsOnce(t *testing.T) {
	for _, lost := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			store, target := fakekv.NewMemory(), newService()
			open := func(int) booking.Log {
				return kvlog.New(store.Connect(time.Millisecond), "b")
			}
			fleet := fleet{service: target}
			leaderLedger := booking.New(booking.DefaultSettings("leader"), nil, open)
			followerLedger := booking.New(booking.DefaultSettings("other"), forwardingLeader{ledger: leaderLedger, sender: fleet.sender("k"), losesAnswer: lost}, open)
			ended := make(chan error, 2)
			for _, ledger := range []*booking.Ledger{leaderLedger, followerLedger} {
				go func() { ended <- ledger.Run(ctx) }()
			}
			unusedSender := fleet.sender("k")
			answer, err := followerLedger.Execute(t.Context(), order("k", "b", time.Minute), unusedSender)
			require.NoError(t, err)
			assert.Equal(t, "k run 1", string(answer.Body))
			assert.False(t, unusedSender.ran.Load(), "the leader sent the order")
			cancel()
			assert.ErrorIs(t, <-ended, context.Canceled)
			assert.ErrorIs(t, <-ended, context.Canceled)
		})
	}
}

// silentLeader returns a fixed outcome of forwarding and no answer.
type silentLeader struct{ forwarding booking.ForwardOutcome }

func (leader silentLeader) Forward(context.Context, int, booking.Order) (booking.Result, booking.ForwardOutcome) {
	return booking.Result{}, leader.forwarding
}

func (silentLeader) HasEnded(string) bool { return false }

// failingLog is a log whose store is unavailable.
type failingLog struct{}

func (failingLog) Append(context.Context, kvlog.Entry) error { return errors.New("out") }

func (failingLog) Read(context.Context, int64) (kvlog.Tail, error) {
	return kvlog.Tail{}, errors.New("out")
}

func (failingLog) Truncate(context.Context, int64) error { return errors.New("out") }

// Guards against reporting an order as not run while its shard's leader may still execute it.
func TestOrderAtAnUncertainLeaderIsNotReportedAsNotRun(t *testing.T) {
	cases := map[booking.ForwardOutcome]call.Ran{booking.ForwardUncertain: call.RanUnknown, booking.ForwardNotAccepted: call.RanNo}
	for forwarding, want := range cases {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			ledger := booking.New(booking.DefaultSettings("e"), silentLeader{forwarding}, func(int) booking.Log { return failingLog{} })
			ended := make(chan error, 1)
			go func() { ended <- ledger.Run(ctx) }()
			_, err := ledger.Execute(ctx, order("k", "b", 5*time.Second), fleet{service: newService()}.sender("k"))
			ran := call.RanYes
			var failure *call.Failure
			var refusal *call.Refusal
			switch {
			case errors.As(err, &failure):
				ran = failure.Ran
			case errors.As(err, &refusal):
				ran = call.RanNo
			}
			assert.Equal(t, want, ran, forwarding)
			cancel()
			assert.ErrorIs(t, <-ended, context.Canceled)
			synctest.Wait()
		})
	}
}
