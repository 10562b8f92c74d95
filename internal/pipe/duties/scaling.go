package duties

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/capacity"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/cluster"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
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
	Cluster() cluster.State
}

// Clock gives the time since boot.
type Clock interface {
	Now() time.Duration
}

// Rates gives the number of prompt tokens that a server of a service reads in a second, 0 if not known.
type Rates interface {
	PrefillRate(service string) float64
}

// Scaler orders the servers of each service.
type Scaler struct {
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

// NewScaler returns the orders for the failure domains.
func NewScaler(api CapacityAPI, fleet Fleet, rates Rates, clock Clock, domains []string, logger zerolog.Logger) *Scaler {
	return &Scaler{api: api, fleet: fleet, rates: rates, clock: clock, domains: domains, logger: logger}
}

// Act makes the orders that are due.
func (scaler *Scaler) Act(ctx context.Context, fence int64) error {
	if fence != scaler.fence {
		scaler.fence, scaler.planners = fence, map[string]capacity.Planner{}
	}
	now := scaler.clock.Now()
	for _, service := range scaler.fleet.Routes().Services() {
		if !service.Scaling.Possible() {
			continue
		}
		planner, orders := scaler.planners[service.Name].WithInput(capacity.Input{
			Service: service, Domains: scaler.domains, Servers: scaler.fleet.Servers().Of(service.Name),
			Demand: scaler.demand(service.Name, now), Rate: scaler.rates.PrefillRate(service.Name), Now: now,
		})
		for _, order := range orders {
			err := scaler.api.Order(ctx, fence, order)
			scaler.logger.Info().Err(err).Int64("Fence", fence).Interface("Order", order).
				Float64("Demand", scaler.demand(service.Name, now)).Float64("Rate", scaler.rates.PrefillRate(service.Name)).Msg("servers ordered")
			if err != nil && !errors.Is(err, ErrUnavailable) {
				scaler.planners[service.Name] = planner
				return err
			}
			planner = planner.WithOrder(order, err == nil, now)
		}
		scaler.planners[service.Name] = planner
	}
	return nil
}

// demand adds up what the entries state.
func (scaler *Scaler) demand(service string, now time.Duration) float64 {
	neighbours := scaler.fleet.Cluster()
	sum := neighbours.Self().Demand[service]
	for _, group := range neighbours.OtherAggregates(now) {
		sum += group.Demand[service]
	}
	return sum
}
