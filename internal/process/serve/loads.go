package serve

import (
	"context"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/loadreport"
)

// loadInterval is the time between two reads of load reports. An entry reads one
// server at a time, which takes at most 20 calls a second whatever the size of the
// fleet: 21 servers once a second, 2,000 servers every 100 s, where the entry's own
// observations have to do.
const loadInterval = 50 * time.Millisecond

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
		return observation.WithReport(report)
	})
}
