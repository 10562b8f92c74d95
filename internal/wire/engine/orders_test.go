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

// Guards against a state that an engine did not send as such: without a role or numbers of its own, it would show that the engine has lost
// all weights, which are then loaded again, and that it ignores fencing numbers.
func TestOnlyWholeStatesOfEnginesCount(t *testing.T) {
	const weights = `{"Model":"m","Adapter":"a","Version":"2","Ready":true}`
	cases := []struct {
		name, body string
		ok         bool
	}{
		{"sound", `{"Fencing":7,"Role":"Both","Weights":[` + weights + `]}`, true},
		{"nothing loaded", `{"Role":"Prefill","Weights":null}`, true},
		{"further fields", `{"Role":"Decode","Weights":[],"x":1}`, true},
		{"empty object", `{}`, false},
		{"null", `null`, false},
		{"load report", `{"Running":3,"Waiting":0}`, false},
		{"unknown role", `{"Role":"x","Weights":[]}`, false},
		{"negative fencing number", `{"Fencing":-1,"Role":"Both","Weights":[]}`, false},
		{"weights without a model", `{"Role":"Both","Weights":[{"Version":"2"}]}`, false},
		{"weights without a version, as an order may have it", `{"Role":"Both","Weights":[{"Model":"m"}]}`, true},
		{"weights that are null", `{"Role":"Both","Weights":[null]}`, false},
		{"the same weights twice", `{"Role":"Both","Weights":[` + weights + `,` + weights + `]}`, false},
		{"repeated field", `{"Role":"Both","Weights":[` + weights + `],"Weights":[]}`, false},
		{"bytes behind the state", `{"Role":"Both","Weights":[]}{`, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := engine.DecodeState([]byte(c.body))
			assert.Equal(t, c.ok, err == nil, "%v", err)
		})
	}
}
