package duties

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/capacity"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/cluster"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/prefill"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/route"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/duty"
)

// ErrUnavailable means that an order was refused: no such servers are available at the moment, or the fencing
// number is too low.
var ErrUnavailable = errors.New("duties: order refused: no such servers available, or fencing number too low")

// CapacityAPI accepts orders for servers.
type CapacityAPI interface {
	// PlaceOrder places an order. It returns [ErrUnavailable] if no such servers are available or the fencing number
	// is too low.
	PlaceOrder(ctx context.Context, fence int64, order capacity.Order) error
}

// Fleet provides the state on which orders are decided.
type Fleet interface {
	// Routes returns the configuration, with the scaling settings of each service.
	Routes() route.Table
	// Servers returns the backend servers.
	Servers() directory.Servers
	// Cluster returns the state of this entry and its peers, with the demand.
	Cluster() cluster.State
}

// Clock is the boot clock of the VM.
type Clock interface {
	// Now returns the time since the VM booted.
	Now() time.Duration
}

// OrderResult is the result of an order for servers.
type OrderResult string

// The results of orders.
const (
	// OrderGranted means that the API accepted the order.
	OrderGranted OrderResult = "Granted"
	// OrderUnavailable means that the order was refused: no such servers are available, or the fencing number is too low.
	OrderUnavailable OrderResult = "Unavailable"
	// OrderFailed means that it is unknown whether the API has accepted the order.
	OrderFailed OrderResult = "Failed"
)

// resultOf returns the result of an order that was answered with err.
func resultOf(err error) OrderResult {
	switch {
	case err == nil:
		return OrderGranted
	case errors.Is(err, ErrUnavailable):
		return OrderUnavailable
	}
	return OrderFailed
}

// OrderRecorder counts the orders for servers.
type OrderRecorder interface {
	// RecordOrder counts one order by its result.
	RecordOrder(order capacity.Order, result OrderResult)
}

// ServerVersions says which servers of a service a plan counts while the service's version changes.
type ServerVersions interface {
	// Planned returns the servers of a service without those of the version that does not serve, and whether its version is changing.
	Planned(service string, servers []directory.Server) ([]directory.Server, bool)
}

// Scaler orders the servers of each service.
type Scaler struct {
	api   CapacityAPI
	fleet Fleet
	// versions restricts the servers that are counted, nil for no restriction.
	versions ServerVersions
	clock    Clock
	domains  []string
	orders   OrderRecorder
	logger   zerolog.Logger
	// startedAt is when the entry started.
	startedAt time.Duration
	// planners contains the planner of each service. They are discarded when a new leadership of this entry
	// begins, because another leader may have ordered servers in between.
	planners map[string]capacity.Planner
	// fence is the fencing number of the leadership to which the planners belong.
	fence int64
}

// NewScaler returns a scaler that orders servers in the given failure domains.
func NewScaler(api CapacityAPI, fleet Fleet, clock Clock, domains []string, orders OrderRecorder, logger zerolog.Logger) *Scaler {
	return &Scaler{api: api, fleet: fleet, clock: clock, domains: domains, orders: orders, logger: logger, startedAt: clock.Now()}
}

// WithVersions returns a scaler that has placed no orders yet and counts the servers that versions returns.
func (scaler *Scaler) WithVersions(versions ServerVersions) *Scaler {
	next := NewScaler(scaler.api, scaler.fleet, scaler.clock, scaler.domains, scaler.orders, scaler.logger)
	next.versions = versions
	return next
}

// planned returns the servers of a service that are counted, and whether its version is changing.
func (scaler *Scaler) planned(service string) ([]directory.Server, bool) {
	servers := scaler.fleet.Servers().OfService(service)
	if scaler.versions == nil {
		return servers, false
	}
	return scaler.versions.Planned(service, servers)
}

// Act places the orders that are due. It returns the first error other than [ErrUnavailable] without placing
// further orders.
func (scaler *Scaler) Act(ctx context.Context, leadership Leadership) error {
	fence := leadership.FencingNumber()
	if fence != scaler.fence {
		scaler.fence, scaler.planners = fence, map[string]capacity.Planner{}
	}
	now := scaler.clock.Now()
	for _, service := range scaler.fleet.Routes().Services() {
		if !service.Scaling.Possible() {
			continue
		}
		measured := scaler.measure(service.Name, now)
		servers, changing := scaler.planned(service.Name)
		input := capacity.Input{
			Service: service, Domains: scaler.domains, Servers: servers,
			Demand: measured.demand, PrefillRate: measured.prefill.Rate, Now: now, KnownSince: scaler.startedAt,
		}
		planner, orders := scaler.planners[service.Name].WithInput(input)
		for _, order := range orders {
			if changing && order.Count < capacity.CountPresent(scaler.fleet.Servers().OfService(service.Name), order) {
				continue // It would release servers of either version, which the roll-out still needs.
			}
			if !leadership.Held() {
				scaler.planners[service.Name] = planner
				return duty.ErrLeaseLost
			}
			err := scaler.api.PlaceOrder(ctx, fence, order)
			scaler.orders.RecordOrder(order, resultOf(err))
			scaler.logger.Info().Err(err).Int64("Fence", fence).Interface("Order", order).
				Float64("Demand", measured.demand).Float64("Rate", measured.prefill.Rate).Float64("MedianRate", measured.prefill.Median).
				Int("RateSamples", measured.prefill.Samples).Float64("Need", planner.Need(input)).Msg("server order attempted")
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

// measurements are what the entries have measured of one service.
type measurements struct {
	// demand is the number of prompt tokens per second that servers have to process.
	demand  float64
	prefill prefill.Estimate
}

// measure adds up what all entries report of a service.
func (scaler *Scaler) measure(service string, now time.Duration) measurements {
	state := scaler.fleet.Cluster()
	self, others := state.Self(), state.OtherLevels(now)
	return measurements{
		demand:  self.Demand[service] + others.Demand[service],
		prefill: prefill.NewEstimate(service, self.PrefillSamples, others.PrefillSamples),
	}
}
