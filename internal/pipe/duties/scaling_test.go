package duties_test

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/capacity"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/cluster"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/route"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/duties"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/duty"
)

// fleet is the state on which a scaler decides, the API that receives its orders, and its clock.
type fleet struct {
	now     time.Duration
	demand  float64
	servers directory.Servers
	orders  []capacity.Order
}

// held is a leadership that does not end, by its fencing number.
type held int64

func (held held) FencingNumber() int64 { return int64(held) }
func (held held) Held() bool           { return true }

// lapsing is a leadership that ends after a number of checks, as that of a process that is paused between two calls.
type lapsing struct {
	held
	checks int
}

func (lapsing *lapsing) Held() bool {
	lapsing.checks--
	return lapsing.checks >= 0
}

func (fleet *fleet) RecordOrder(capacity.Order, duties.OrderResult) {}

func (fleet *fleet) Now() time.Duration         { return fleet.now }
func (fleet *fleet) Servers() directory.Servers { return fleet.servers }

func (fleet *fleet) Routes() route.Table {
	return route.NewTable(1, nil, []route.Service{{Name: "model", Scaling: route.Scaling{
		MinServers: 0, MaxServers: 20, BootTime: 4 * time.Second, ReclaimablePrice: 0.2, DomainPrices: map[string]float64{"a": 1, "b": 1},
	}}}, nil, route.Limits{})
}

func (fleet *fleet) Cluster() cluster.State {
	return cluster.New(cluster.EntryState{Member: cluster.Member{Name: "one"}, Demand: map[string]float64{"model": fleet.demand}})
}

func (fleet *fleet) PlaceOrder(_ context.Context, _ int64, order capacity.Order) error {
	fleet.orders = append(fleet.orders, order)
	return nil
}

// setServers replaces the servers by count reclaimable ones in each failure domain.
func (fleet *fleet) setServers(count int) {
	var listed []directory.Server
	for _, domain := range []string{"a", "b"} {
		for i := range count {
			listed = append(listed, directory.Server{
				ID: domain + strconv.Itoa(i), Service: "model", Domain: domain, Slots: 8, State: directory.StateReady, Reclaimable: true,
			})
		}
	}
	fleet.servers = directory.Servers{}.WithSnapshot(directory.Snapshot[[]directory.Server]{Revision: 1, CurrentAt: fleet.now, Value: listed})
}

// act calls the scaler every 250 ms for the given time.
func (fleet *fleet) act(t *testing.T, scaler *duties.Scaler, fence int64, length time.Duration) {
	t.Helper()
	for end := fleet.now + length; fleet.now < end; fleet.now += 250 * time.Millisecond {
		require.NoError(t, scaler.Act(t.Context(), held(fence)))
	}
}

// Guards against an entry that becomes leader again and, because it decides on the state of its
// earlier leadership, releases servers that another leader has ordered in between.
func TestNewLeadershipDoesNotUseTheStateOfAnEarlierOne(t *testing.T) {
	fleet := &fleet{now: time.Minute, demand: 20000}
	fleet.setServers(3)
	scaler := duties.NewScaler(fleet, fleet, fleet, []string{"a", "b"}, fleet, zerolog.Nop())
	fleet.act(t, scaler, 1, time.Minute)
	fleet.now += 5 * time.Minute
	fleet.setServers(15)
	fleet.orders = nil
	fleet.act(t, scaler, 7, 5*time.Second)
	for _, order := range fleet.orders {
		if order.Reclaimable {
			assert.GreaterOrEqual(t, order.Count, 15, "failure domain %s", order.Domain)
		}
	}
}

// Guards against two leaders that both act for a moment: a leader that is paused between two orders of one round must not
// send the second one once its lease has lapsed, since the next leader sends its own.
func TestNoOrderIsSentAfterTheLeaseHasLapsed(t *testing.T) {
	for checks := range 3 {
		fleet := &fleet{now: time.Minute, demand: 200000}
		scaler := duties.NewScaler(fleet, fleet, fleet, []string{"a", "b"}, fleet, zerolog.Nop())
		require.NoError(t, scaler.Act(t.Context(), held(1)))
		fleet.now += time.Minute
		err := scaler.Act(t.Context(), &lapsing{held: 1, checks: checks})
		assert.ErrorIs(t, err, duty.ErrLeaseLost)
		assert.Len(t, fleet.orders, checks)
	}
}

// changing is a service of which the servers above the first three are those of a new version that is tried.
type changing struct{}

func (changing changing) Planned(_ string, servers []directory.Server) ([]directory.Server, bool) {
	return servers[:min(3, len(servers))], true
}

// Guards against servers that are released while a roll-out needs those of both versions, and that are counted twice.
func TestNoServersAreReleasedDuringARollout(t *testing.T) {
	fleet := &fleet{now: time.Minute, demand: 20000}
	fleet.setServers(3)
	scaler := duties.NewScaler(fleet, fleet, fleet, []string{"a", "b"}, fleet, zerolog.Nop()).WithVersions(changing{})
	fleet.act(t, scaler, 1, time.Minute)
	fleet.setServers(15)
	fleet.orders = nil
	fleet.act(t, scaler, 1, 5*time.Minute)
	for _, order := range fleet.orders {
		assert.GreaterOrEqual(t, order.Count, capacity.CountPresent(fleet.servers.OfService("model"), order), "%+v", order)
	}
}
