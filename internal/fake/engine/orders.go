package engine

import (
	"context"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/order"
	wire "github.com/rosemaryspar/rosemaryspar/internal/wire/engine"
)

// Orders is the part of an engine that carries out orders to load or unload weights or to change its role. It is
// safe for concurrent use.
type Orders struct {
	refusesStale bool
	state        *rcu.Cell[ordersState]
}

// ordersState is the state that the engine reports, and the injected faults.
type ordersState struct {
	serverState order.ServerState
	faults      OrderFaults
}

// OrderFaults are the faults that can be injected into the handling of orders.
type OrderFaults struct {
	// Late is the delay before an order takes effect. The order takes effect even if
	// its caller has timed out by then.
	Late time.Duration
	// LoseAnswers is how many of the next orders are handled but not answered.
	LoseAnswers int
	// Loading keeps the weights of each load order not ready, as if they were still being loaded.
	Loading bool
}

// NewOrders returns the Orders of an engine without weights. The engine refuses orders with an outdated
// fencing number if refusesStale is set, and ignores fencing numbers otherwise.
func NewOrders(refusesStale bool) *Orders {
	return &Orders{refusesStale: refusesStale, state: rcu.New(ordersState{serverState: order.ServerState{Role: order.RoleBoth}})}
}

// Inject replaces the injected faults.
func (orders *Orders) Inject(faults OrderFaults) {
	orders.state.Update(func(current ordersState) ordersState {
		current.faults = faults
		return current
	})
}

// State returns the state that the engine reports: its weights, its role and its fencing number.
func (orders *Orders) State() order.ServerState { return orders.state.Load().serverState }

// Apply carries out an order at once and reports whether it was accepted.
//
// An engine that refuses outdated fencing numbers rejects an order whose number is
// lower than the highest accepted so far.
func (orders *Orders) Apply(fencing int64, received order.Order) bool {
	_, accepted := rcu.Apply(orders.state, func(current ordersState) (ordersState, bool) {
		if orders.refusesStale && fencing < current.serverState.FencingNumber {
			return current, false
		}
		current.serverState = current.serverState.WithOrder(received)
		if orders.refusesStale {
			current.serverState = current.serverState.WithFencing(fencing)
		}
		if current.faults.Loading && received.Kind == order.KindLoad {
			current.serverState = current.serverState.WithReady(received.WeightsKey, false)
		}
		return current, true
	})
	return accepted
}

// loseAnswer reports whether the answer to an order must be dropped, and counts it as dropped if so.
func (orders *Orders) loseAnswer() bool {
	_, lost := rcu.Apply(orders.state, func(current ordersState) (ordersState, bool) {
		if current.faults.LoseAnswers == 0 {
			return current, false
		}
		current.faults.LoseAnswers--
		return current, true
	})
	return lost
}

func (orders *Orders) serveOrder(_ context.Context, c *app.RequestContext) {
	fencing, received, err := wire.DecodeOrder(c.Request.Body())
	if err != nil {
		c.String(http.StatusBadRequest, err.Error())
		return
	}
	if late := orders.state.Load().faults.Late; late > 0 {
		<-time.After(late)
	}
	accepted := orders.Apply(fencing, received)
	switch {
	case orders.loseAnswer():
		_ = c.GetConn().Close()
	case accepted:
		c.Status(http.StatusAccepted)
	default:
		body, err := wire.EncodeStaleRejection(orders.State().FencingNumber)
		writeJSON(c, http.StatusConflict, body, err)
	}
}

func (orders *Orders) serveState(_ context.Context, c *app.RequestContext) {
	body, err := wire.EncodeState(orders.State())
	writeJSON(c, http.StatusOK, body, err)
}

func writeJSON(c *app.RequestContext, status int, body []byte, err error) {
	if err != nil {
		c.String(http.StatusInternalServerError, err.Error())
		return
	}
	c.Data(status, "application/json", body)
}
