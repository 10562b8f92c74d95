package neighbour

import (
	"strconv"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/suspect"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/usage"
)

// Record is what one incarnation of an entry states of itself.
type Record struct {
	Name string
	// Address is "IP:port" for peers.
	Address string
	Domain  string
	// Incarnation is when the process started, in nanoseconds since 1970.
	Incarnation int64
	// Sequence rises with each statement.
	Sequence uint64
	// Stopping reports that the entry takes no new callers.
	Stopping bool
	// Holds reports that the entry holds the duty towards the platform.
	Holds bool
	// Clock is the wall clock at the statement.
	Clock time.Time
	// Admitted is what the entry admitted by client account since its start, in the unit of the limit.
	Admitted map[string]float64
	// Running is the number of calls in progress by server.
	Running map[string]int
	// Demand is the prompt tokens a second by service.
	Demand map[string]float64
	// Leaving is the incarnations of servers that the entry knows to leave, by server.
	Leaving map[string]int64
	Usage   usage.Counts
	// Suspects are the requests that were in progress when servers crashed.
	Suspects []suspect.Report
}

// ID identifies the incarnation.
func (record Record) ID() string {
	return record.Name + "#" + strconv.FormatInt(record.Incarnation, 36)
}
