package serve

import (
	"context"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/loadreport"
)

// loadPollInterval is the time between two reads of load reports, each from one server.
//
// A read takes about 0.5 ms of processor time. 20 reads a second took 0.9% of a core,
// two thirds of what control work may use. With 4 reads a second, each of 21 servers is
// read every 5 s, and each of 2,000 servers every 500 s. Such a large fleet is balanced
// by the entry's own observations instead.
const loadPollInterval = 250 * time.Millisecond

// loadPoller reads the load reports of the backend servers in turn, one per loadPollInterval.
type loadPoller struct {
	snapshots *Snapshots
	client    *loadreport.Client
}

// Run reads reports until ctx ends.
func (loadPoller loadPoller) Run(ctx context.Context) error {
	ticker := time.NewTicker(loadPollInterval)
	defer ticker.Stop()
	var remaining []backend.Server
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		if len(remaining) == 0 {
			remaining = loadPoller.snapshots.View().Fleet.Servers()
			continue
		}
		go loadPoller.read(ctx, remaining[0])
		remaining = remaining[1:]
	}
}

// read records a server's load report in the server's observation.
//
// A failed read is ignored: a server without a load report is assessed by its answers alone. A leaving server is
// not read, since it gets no new requests.
func (loadPoller loadPoller) read(ctx context.Context, server backend.Server) {
	if server.Leaving {
		return
	}
	report, err := loadPoller.client.Read(ctx, server)
	if err != nil {
		return
	}
	server.Observation.Update(func(observation backend.Observation) backend.Observation {
		return observation.WithLoadReport(report)
	})
}
