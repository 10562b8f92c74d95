package slopes

import (
	"context"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/engine"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/runner"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/service"
)

// manySlots is so many slots that requests do not queue at the stand-ins, since queueing is not measured.
const manySlots = 4000

// The services of the measurement, each with one backend server.
const (
	serviceFast  = "fast"  // 5 ms per token
	serviceSlow  = "slow"  // 500 ms per token
	serviceStock = "stock" // idempotent operations, which may be retried
	serviceOrder = "order" // operations that must not run twice
)

// servers holds the documents of the services and of their running backend servers.
type servers struct {
	change config.Change
}

// startServers starts one backend server for each service. They run until ctx ends.
func startServers(ctx context.Context) (*servers, error) {
	servers := &servers{}
	for name, token := range map[string]time.Duration{
		serviceFast: 5 * time.Millisecond, serviceSlow: 500 * time.Millisecond,
	} {
		server, err := engine.Listen("127.0.0.1:0", runner.New(runner.Settings{Name: name, Slots: manySlots, AnswerToken: token}))
		if err != nil {
			return nil, err
		}
		go func() { _ = server.Serve(ctx) }()
		servers.add(name, config.ProtocolEngine, config.RepeatIdempotent, server.Address())
	}
	for name, repeat := range map[string]config.RepeatPolicy{serviceStock: config.RepeatIdempotent, serviceOrder: config.RepeatNever} {
		server, err := service.Listen("127.0.0.1:0", runner.New(runner.Settings{Name: name, Slots: manySlots, Operation: 5 * time.Millisecond}))
		if err != nil {
			return nil, err
		}
		go func() { _ = server.Serve(ctx) }()
		servers.add(name, config.ProtocolPlain, repeat, server.Address())
	}
	return servers, nil
}

// add adds the documents of a service and of its backend server, both with the same name.
func (servers *servers) add(name string, protocol config.Protocol, repeat config.RepeatPolicy, address string) {
	labels := map[string]string{"role": name}
	servers.change.Services = append(servers.change.Services, config.Service{
		Name: name, Protocol: protocol, Repeat: repeat, Selector: "role=" + name, TimeoutMs: 60_000,
	})
	servers.change.Backends = append(servers.change.Backends, config.Backend{
		Name: name, Address: address, Domain: "quimper", Slots: manySlots, Labels: labels,
	})
}
