package slopes

import (
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/fake/kv"
)

// sample holds the resource usage of a fleet and its calls to the key-value service up to one moment.
type sample struct {
	at    time.Time
	usage usage
	calls kv.Counts
}

// takeSample returns the usage and calls of the fleet up to now. Its entries must still be running.
func takeSample(fleet *fleet) (sample, error) {
	used, err := totalUsage(fleet.entries)
	return sample{at: time.Now(), usage: used, calls: fleet.store.Counts()}, err
}
