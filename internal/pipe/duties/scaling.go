package duties

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/capacity"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/neighbour"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/route"
)

// ErrUnavailable means that servers of that kind are not to be had at the moment.
var ErrUnavailable = errors.New("duties: none available")

// CapacityAPI takes orders.
type CapacityAPI interface {
	// Order returns [ErrUnavailable] when there are no such servers, or the fencing number is too low.
	Order(ctx context.Context, fence int64, order capacity.Order) error
}

// Fleet gives what the orders are decided on.
type Fleet interface {
	Routes() route.Table
	Servers() directory.Servers
	Neighbours() neighbour.State
}

// Clock gives the time since boot.
type Clock interface {
	Now() time.Duration
}

// Rates gives the number of prompt tokens that a server of a service reads in a second, 0 if not known.
type Rates interface {
	Rate(service string) float64
}

// Scaling orders the servers of each service.
type Scaling struct {
	api     CapacityAPI
	fleet   Fleet
	rates   Rates
	clock   Clock
	domains []string
	logger  zerolog.Logger
	// planners are by service. They end with the holding, since other holders may order servers between two of them.
	planners map[string]capacity.Planner
	// fence is the fencing number of the holding that the planners belong to.
	fence int64
}

// NewScaling returns the orders for the failure domains.
func NewScaling(api CapacityAPI, fleet Fleet, rates Rates, clock Clock, domains []string, logger zerolog.Logger) *Scaling {
	return &Scaling{api: api, fleet: fleet, rates: rates, clock: clock, domains: domains, logger: logger}
}

// Act makes the orders that are due.
func (scaling *Scaling) Act(ctx context.Context, fence int64) error {
	if fence != scaling.fence {
		scaling.fence, scaling.planners = fence, map[string]capacity.Planner{}
	}
	now := scaling.clock.Now()
	for _, service := range scaling.fleet.Routes().Services() {
		if !service.Scaling.Possible() {
			continue
		}
		planner, orders := scaling.planners[service.Name].WithSituation(capacity.Situation{
			Service: service, Domains: scaling.domains, Servers: scaling.fleet.Servers().Of(service.Name),
			Demand: scaling.demand(service.Name, now), Rate: scaling.rates.Rate(service.Name), Now: now,
		})
		for _, order := range orders {
			err := scaling.api.Order(ctx, fence, order)
			scaling.logger.Info().Err(err).Int64("Fence", fence).Interface("Order", order).
				Float64("Demand", scaling.demand(service.Name, now)).Float64("Rate", scaling.rates.Rate(service.Name)).Msg("servers ordered")
			if err != nil && !errors.Is(err, ErrUnavailable) {
				scaling.planners[service.Name] = planner
				return err
			}
			planner = planner.WithOrder(order, err == nil, now)
		}
		scaling.planners[service.Name] = planner
	}
	return nil
}

// demand adds up what the entries state.
func (scaling *Scaling) demand(service string, now time.Duration) float64 {
	neighbours := scaling.fleet.Neighbours()
	sum := neighbours.Self().Demand[service]
	for _, group := range neighbours.Others(now) {
		sum += group.Demand[service]
	}
	return sum
}
