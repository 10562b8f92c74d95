package serve

import (
	"context"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/loadreport"
)

// loadInterval is the time between two reads of load reports, one server at a
// time. A read takes about half a millisecond of processor time, so that 20 a second
// took 0.9% of a core, two thirds of all that control may take. At 4 a second 21
// servers are read every 5 s and 2,000 every 500 s, where the entry's own
// observations have to do.
const loadInterval = 250 * time.Millisecond

// loads reads the servers' load reports in turn.
type loads struct {
	snapshots *Snapshots
	client    *loadreport.Client
}

// Run reads reports until the context ends.
func (loads loads) Run(ctx context.Context) error {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	var turn []backend.Server
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		if len(turn) == 0 {
			turn = loads.snapshots.View().Fleet.Servers()
			continue
		}
		go loads.read(ctx, turn[0])
		turn = turn[1:]
	}
}

// read takes a server's report into its observation; a server that gives none is judged by its answers.
func (loads loads) read(ctx context.Context, server backend.Server) {
	if server.Leaving {
		return
	}
	report, err := loads.client.Read(ctx, server)
	if err != nil {
		return
	}
	server.Observation.Update(func(observation backend.Observation) backend.Observation {
		return observation.WithLoadReport(report)
	})
}
