package slopes

import (
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/fake/kv"
)

// look is the counters of a fleet at one moment.
type look struct {
	at    time.Time
	used  usage
	calls kv.Counts
}

func newLook(fleet *fleet) (look, error) {
	used, err := usages(fleet.entries)
	return look{at: time.Now(), used: used, calls: fleet.store.Counts()}, err
}
