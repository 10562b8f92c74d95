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

// Orders is the part of an engine that carries out orders.
type Orders struct {
	refuses bool
	state   *rcu.Cell[ordersState]
}

// ordersState is the engine's state and the faults that are set.
type ordersState struct {
	state  order.ServerState
	faults OrderFaults
}

// OrderFaults are faults of an engine's orders.
type OrderFaults struct {
	// Late is the time after which an order takes effect, also when its caller
	// has given up by then.
	Late time.Duration
	// LoseAnswers is how many answers are still lost after the order took effect.
	LoseAnswers int
	// Loading leaves the weights that an order loads not ready.
	Loading bool
}

// NewOrders returns an engine without weights that refuses or ignores old fencing numbers.
func NewOrders(refuses bool) *Orders {
	return &Orders{refuses: refuses, state: rcu.New(ordersState{state: order.ServerState{Role: order.RoleBoth}})}
}

// Inject replaces the faults.
func (orders *Orders) Inject(faults OrderFaults) {
	orders.state.Update(func(current ordersState) ordersState {
		current.faults = faults
		return current
	})
}

// State returns the engine's state.
func (orders *Orders) State() order.ServerState { return orders.state.Load().state }

// Apply carries out an order and reports whether it was accepted.
func (orders *Orders) Apply(number int64, next order.Order) bool {
	_, accepted := rcu.Apply(orders.state, func(current ordersState) (ordersState, bool) {
		if orders.refuses && number < current.state.Fencing {
			return current, false
		}
		current.state = current.state.WithOrder(next)
		if orders.refuses {
			current.state = current.state.WithFencing(number)
		}
		if current.faults.Loading && next.Kind == order.KindLoad {
			current.state = current.state.WithReady(next.Slot, false)
		}
		return current, true
	})
	return accepted
}

// loseAnswer reports whether the answer to an order is to be lost.
func (orders *Orders) loseAnswer() bool {
	_, lose := rcu.Apply(orders.state, func(current ordersState) (ordersState, bool) {
		if current.faults.LoseAnswers == 0 {
			return current, false
		}
		current.faults.LoseAnswers--
		return current, true
	})
	return lose
}

func (orders *Orders) serveOrder(_ context.Context, c *app.RequestContext) {
	number, next, err := wire.DecodeOrder(c.Request.Body())
	if err != nil {
		c.String(http.StatusBadRequest, err.Error())
		return
	}
	if late := orders.state.Load().faults.Late; late > 0 {
		<-time.After(late)
	}
	accepted := orders.Apply(number, next)
	switch {
	case orders.loseAnswer():
		_ = c.GetConn().Close()
	case accepted:
		c.Status(http.StatusAccepted)
	default:
		body, err := wire.EncodeStale(orders.State().Fencing)
		answer(c, http.StatusConflict, body, err)
	}
}

func (orders *Orders) serveState(_ context.Context, c *app.RequestContext) {
	body, err := wire.EncodeState(orders.State())
	answer(c, http.StatusOK, body, err)
}

func answer(c *app.RequestContext, status int, body []byte, err error) {
	if err != nil {
		c.String(http.StatusInternalServerError, err.Error())
		return
	}
	c.Data(status, "application/json", body)
}
