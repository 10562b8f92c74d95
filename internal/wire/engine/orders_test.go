package engine_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/order"
	fake "github.com/rosemaryspar/rosemaryspar/internal/fake/engine"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/runner"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/engine"
)

var load = order.Order{Kind: order.KindLoad, WeightsKey: order.WeightsKey{Model: "m", Adapter: "a"}, Version: "2"}

// Guards against orders whose outcome is reported as done or not sent although it is unknown.
func TestOutcomesOfOrders(t *testing.T) {
	cases := []struct {
		name, answer string
		want         order.Outcome
	}{
		{"accepted", "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n", order.OutcomeDone},
		{"stale", "HTTP/1.1 409 Conflict\r\nContent-Length: 13\r\n\r\n{\"Fencing\":8}", order.OutcomeStale},
		{"another conflict", "HTTP/1.1 409 Conflict\r\nContent-Length: 13\r\n\r\n{\"Fencing\":7}", order.OutcomeUnknown},
		{"connection refused", "", order.OutcomeNotSent},
		{"busy", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", order.OutcomeNotSent},
		{"server error", "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", order.OutcomeUnknown},
		{"closed without an answer", "HTTP/1.1", order.OutcomeUnknown},
		{"no answer in time", "...", order.OutcomeUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			address := closedAddress(t)
			if c.answer != "" {
				address = script(t, c.answer)
			}
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			got, err := engine.NewOrderClient(time.Second).SendOrder(ctx, order.Server{Name: "s", Address: address}, 7, load)
			assert.Equal(t, c.want, got)
			assert.Equal(t, c.want != order.OutcomeDone, err != nil)
		})
	}
}

// Guards against a client and a fake engine that disagree on the protocol. The engine rejects older fencing
// numbers in one run and ignores them in the other; one order arrives after the timeout of its call.
func TestOrdersAtTheStandIn(t *testing.T) {
	for _, refuses := range []bool{true, false} {
		orders := fake.NewOrders(refuses)
		server, err := fake.Listen("127.0.0.1:0", runner.New(runner.Settings{}))
		require.NoError(t, err)
		ctx, stop := context.WithCancel(t.Context())
		served := make(chan error, 1)
		go func() { served <- server.WithOrders(orders).Serve(ctx) }()
		target, client := order.Server{Name: "s", Address: server.Address()}, engine.NewOrderClient(time.Second)
		send := func(fencingNumber int64, version string, want order.Outcome) {
			newOrder := load
			newOrder.Version = version
			limited, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
			defer cancel()
			got, err := client.SendOrder(limited, target, fencingNumber, newOrder)
			assert.Equal(t, want, got, err)
		}
		send(2, "2", order.OutcomeDone)
		state, err := client.ReadState(ctx, target)
		require.NoError(t, err)
		assert.Equal(t, orders.State(), state)
		olderOutcome := order.OutcomeDone
		if refuses {
			olderOutcome = order.OutcomeStale
		}
		send(1, "1", olderOutcome)
		orders.Inject(fake.OrderFaults{Late: 300 * time.Millisecond, LoseAnswers: 1})
		send(3, "3", order.OutcomeUnknown)
		assert.Eventually(t, func() bool {
			version, _ := orders.State().Version(load.WeightsKey)
			return version == "3"
		}, 5*time.Second, 10*time.Millisecond, "an order that arrives after its call timed out takes effect")
		stop()
		require.NoError(t, <-served)
	}
}
