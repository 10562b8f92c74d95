package order

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/order"
)

// ErrStale is returned when a backend server has seen the fencing number of a later holder.
var ErrStale = errors.New("order: replaced by a later holder")

// Client reaches backend servers.
type Client interface {
	// SendOrder sends an order; the error gives the detail of any outcome but done.
	SendOrder(ctx context.Context, server order.Server, number int64, next order.Order) (order.Outcome, error)
	ReadState(ctx context.Context, server order.Server) (order.ServerState, error)
}

// TargetSource gives the backend servers of the duty with their desired states.
type TargetSource interface {
	Targets() []order.Target
}

// Leadership is the duty as its holder sees it.
type Leadership interface {
	FencingNumber() int64
	Since() time.Time
	Until() time.Time
	Held() bool
}

// Settings of a controller.
type Settings struct {
	Timing order.Timing
	// LoadRate is the duty's share of the weight store in bytes per second, 0 for no bound.
	LoadRate float64
	// LoadBurst is in bytes.
	LoadBurst int64
	// PollInterval bounds the time after which a change of the targets is noticed.
	PollInterval time.Duration
}

// Event is a finished action, for logs.
type Event struct {
	order.Result
	Err error
	// Converged reports that the server was just read as desired.
	Converged bool
}

// Controller brings backend servers to their desired states.
type Controller struct {
	settings Settings
	client   Client
	targets  TargetSource
	report   func(Event)
}

// NewController returns a controller that passes each finished action to report.
func NewController(settings Settings, client Client, targets TargetSource, report func(Event)) *Controller {
	return &Controller{settings: settings, client: client, targets: targets, report: report}
}

// Run reads and sends until ctx ends, and returns [ErrStale] when this holder has been replaced.
//
// It returns once no call is in progress.
func (controller *Controller) Run(ctx context.Context, holding Leadership) error {
	ctx, cancel := context.WithCancel(ctx)
	var calls sync.WaitGroup
	defer calls.Wait()
	defer cancel()
	settings := controller.settings
	budget := order.NewBudget(settings.LoadRate, settings.LoadBurst, time.Now())
	fleet := order.NewFleet(holding.FencingNumber(), holding.Since(), settings.Timing, budget)
	finished := make(chan Event)
	for {
		now := time.Now()
		next, actions, wake := fleet.WithTargets(controller.targets.Targets(), now).WithActions(now)
		fleet = next
		for _, action := range actions {
			calls.Go(func() {
				select {
				case finished <- controller.act(ctx, holding, action):
				case <-ctx.Done():
				}
			})
		}
		timer := time.NewTimer(min(settings.PollInterval, time.Until(wake)))
		select {
		case event := <-finished:
			timer.Stop()
			var current bool
			fleet, current = fleet.WithResult(event.Result, time.Now())
			event.Converged = event.Kind == order.StepRead && fleet.Converged(event.Server.Name)
			controller.report(event)
			if !current {
				return ErrStale
			}
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
	}
}

// act takes one step at one backend server.
func (controller *Controller) act(ctx context.Context, holding Leadership, action order.Action) Event {
	event := Event{Result: order.Result{Action: action}}
	ctx, cancel := context.WithTimeout(ctx, controller.settings.Timing.CallTimeout)
	defer cancel()
	if action.Kind == order.StepRead {
		state, err := controller.client.ReadState(ctx, action.Server)
		if event.Err = err; err == nil {
			event.State = &state
		}
		return event
	}
	ctx, cancel = context.WithDeadline(ctx, holding.Until())
	defer cancel()
	if !holding.Held() {
		event.Outcome, event.Err = order.OutcomeNotSent, context.DeadlineExceeded
		return event
	}
	event.Outcome, event.Err = controller.client.SendOrder(ctx, action.Server, action.FencingNumber, action.Order)
	return event
}
