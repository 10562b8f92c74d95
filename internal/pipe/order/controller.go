package order

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/order"
)

// ErrStale means that a backend server has accepted the fencing number of a later leader.
var ErrStale = errors.New("order: a backend server has accepted the fencing number of a later leader")

// Client is the client for calls to backend servers.
type Client interface {
	// SendOrder sends an order with the leader's fencing number. The error explains any outcome
	// other than [order.OutcomeDone].
	SendOrder(ctx context.Context, server order.Server, fencingNumber int64, newOrder order.Order) (order.Outcome, error)
	// ReadState reads a server's current state.
	ReadState(ctx context.Context, server order.Server) (order.ServerState, error)
}

// TargetSource provides the backend servers that the leader manages, with their desired states.
type TargetSource interface {
	Targets() []order.Target
}

// Leadership is a granted lease that makes this entry the leader.
type Leadership interface {
	// FencingNumber returns the fencing number of the lease.
	FencingNumber() int64
	// Since returns the time at which the lease was granted.
	Since() time.Time
	// Until returns the time at which the lease ends unless it is renewed.
	Until() time.Time
	// Held reports whether the lease is still held.
	Held() bool
}

// Settings configures a [Controller].
type Settings struct {
	Timing order.Timing
	// LoadRate limits the bytes per second that model loads read from the weight store, 0 for no limit.
	LoadRate float64
	// LoadBurst is the largest burst of these reads, in bytes.
	LoadBurst int64
	// PollInterval is the longest time between two reads of the targets.
	PollInterval time.Duration
}

// Event describes an action that has ended, successfully or not, for logs.
type Event struct {
	order.Result
	// Err is the error of the call, nil if it succeeded.
	Err error
	// Converged reports whether the action was a read that found the server in its desired state.
	Converged bool
}

// Controller reconciles backend servers with their desired states while this entry is leader.
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

// Run reads the states of the servers and sends orders until ctx ends. It returns
// [ErrStale] when a later leader has replaced this one, and nil when ctx has ended.
//
// Before it returns, it cancels the calls in progress and waits for them.
func (controller *Controller) Run(ctx context.Context, leadership Leadership) error {
	ctx, cancel := context.WithCancel(ctx)
	var calls sync.WaitGroup
	defer calls.Wait()
	defer cancel()
	settings := controller.settings
	budget := order.NewBudget(settings.LoadRate, settings.LoadBurst, time.Now())
	fleet := order.NewFleet(leadership.FencingNumber(), leadership.Since(), settings.Timing, budget)
	finished := make(chan Event)
	for {
		now := time.Now()
		next, actions, nextCall := fleet.WithTargets(controller.targets.Targets(), now).WithActions(now)
		fleet = next
		for _, action := range actions {
			calls.Go(func() {
				select {
				case finished <- controller.act(ctx, leadership, action):
				case <-ctx.Done():
				}
			})
		}
		timer := time.NewTimer(min(settings.PollInterval, time.Until(nextCall)))
		select {
		case event := <-finished:
			timer.Stop()
			var isLeader bool
			fleet, isLeader = fleet.WithResult(event.Result, time.Now())
			event.Converged = event.Kind == order.StepRead && fleet.Converged(event.Server.Name)
			controller.report(event)
			if !isLeader {
				return ErrStale
			}
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
	}
}

// act carries out an action: it reads the state of a backend server or sends an order to it.
// It does not send an order when the lease is no longer held.
func (controller *Controller) act(ctx context.Context, leadership Leadership, action order.Action) Event {
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
	ctx, cancel = context.WithDeadline(ctx, leadership.Until())
	defer cancel()
	if !leadership.Held() {
		event.Outcome, event.Err = order.OutcomeNotSent, context.DeadlineExceeded
		return event
	}
	event.Outcome, event.Err = controller.client.SendOrder(ctx, action.Server, action.FencingNumber, action.Order)
	return event
}
