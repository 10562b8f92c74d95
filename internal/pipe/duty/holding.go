package duty

import (
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/duty"
)

// Holding is a duty that this entry holds, or has held; several threads may use it.
type Holding struct {
	tenure *rcu.Cell[duty.Tenure]
}

// NewHolding returns a holding of the given tenure.
func NewHolding(tenure duty.Tenure) *Holding {
	return &Holding{tenure: rcu.New(tenure)}
}

// Number returns the fencing number: the revision at which the lease's key was created.
func (holding *Holding) Number() int64 { return holding.tenure.Load().Number() }

// Since returns when this entry learned that it holds the duty.
func (holding *Holding) Since() time.Time { return holding.tenure.Load().Since() }

// Until returns when this entry must stop, unless it renews the lease before.
func (holding *Holding) Until() time.Time { return holding.tenure.Load().Until() }

// Held reports whether this entry may act now.
func (holding *Holding) Held() bool { return holding.tenure.Load().Held(time.Now()) }

func (holding *Holding) renew(asked time.Time, ttl time.Duration) {
	holding.tenure.Update(func(tenure duty.Tenure) duty.Tenure { return tenure.WithRenewal(asked, ttl) })
}

func (holding *Holding) end() {
	now := time.Now()
	holding.tenure.Update(func(tenure duty.Tenure) duty.Tenure { return tenure.WithEnd(now) })
}
