package rollout

import (
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
)

// Known are the orders and records that an entry knows. It is immutable.
//
// A restore of the store from a backup loses orders until the operator writes them again, and gives the remaining ones revisions of
// another era. An order keeps its first revision across a restore: if a lost order no longer held, its version would get calls without a
// bound, and if a restored one counted as another order, it would have a trial again although it was stopped or done.
type Known struct {
	// revision is that of the last read of the store, stored is what the store had then, and plans are those in effect.
	revision      int64
	stored, plans Plans
}

// Plans returns the plans in effect, which the caller must not change.
func (known Known) Plans() Plans { return known.plans }

// IsOf reports whether the plans are those after a read of the store, so that [Known.WithRead] changes nothing.
func (known Known) IsOf(read Plans, revision int64) bool {
	if len(read) != len(known.stored) || directory.Era(revision) != directory.Era(known.revision) {
		return false
	}
	for service, plan := range read {
		if last, exists := known.stored[service]; !exists || !last.Same(plan) {
			return false
		}
	}
	return true
}

// WithRead returns what the entry knows after a read of the store. One of a lower revision changes nothing.
func (known Known) WithRead(read Plans, revision int64) Known {
	if revision < known.revision {
		return known
	}
	plans := make(Plans, len(read))
	for service, plan := range read {
		plan.Order = known.orderAfter(service, plan, revision)
		plans[service] = plan
	}
	for service := range known.plans {
		if _, listed := read[service]; listed {
			continue
		}
		if order := known.orderAfter(service, Plan{}, revision); order.Revision != 0 {
			plans[service] = Plan{Order: order}
		}
	}
	return Known{revision: revision, stored: read, plans: plans}
}

// orderAfter returns the order of a service that holds after a read of a plan.
func (known Known) orderAfter(service string, read Plan, revision int64) Order {
	lastStored, last := known.stored[service].Order, known.plans[service].Order
	isFirstOfEra := lastStored.Revision == 0 || directory.Era(lastStored.Revision) < directory.Era(revision)
	switch {
	case read.Order.Revision == 0 && isFirstOfEra && directory.Era(last.Revision) < directory.Era(revision):
		return last // The operator cannot have taken back an order that the store has lost.
	case read.Order.Revision == 0:
		return Order{}
	case read.Order.Revision == lastStored.Revision:
		return last
	case !isFirstOfEra:
		return read.Order
	case last.isRestoredBy(read.Order):
		return last
	case read.Record.asOrder().isRestoredBy(read.Order):
		return read.Record.asOrder()
	}
	return read.Order
}

// isRestoredBy reports whether an order of a later era is this one, which the backup had or the operator has written again.
func (order Order) isRestoredBy(later Order) bool {
	return order.Revision != 0 && directory.Era(order.Revision) < directory.Era(later.Revision) && order.To == later.To &&
		order.Duration.Round(time.Millisecond) == later.Duration.Round(time.Millisecond)
}

// asOrder returns the order of the record.
func (record Record) asOrder() Order {
	return Order{Service: record.Service, To: record.To, Duration: record.Duration, Revision: record.Order}
}
