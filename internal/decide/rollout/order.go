package rollout

import (
	"slices"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
)

// Phase is how far an order has been carried out.
type Phase string

// The phases of an order.
const (
	// PhaseTrial means that servers of the new version get a bounded share of the calls.
	PhaseTrial Phase = "Trial"
	// PhaseShift means that servers of the new version get all calls while calls in progress at old ones end.
	PhaseShift Phase = "Shift"
	// PhaseDone means that the old servers are no longer used and may be stopped.
	PhaseDone Phase = "Done"
	// PhaseRolledBack means that the new servers are no longer used.
	PhaseRolledBack Phase = "RolledBack"
)

// Ended reports whether nothing follows the phase.
func (phase Phase) Ended() bool { return phase == PhaseDone || phase == PhaseRolledBack }

// rank returns a number that increases from one phase of an order to the next.
func (phase Phase) rank() int {
	switch phase {
	case PhaseTrial:
		return 0
	case PhaseShift:
		return 1
	}
	return 2
}

// Order is an operator's order to move the traffic of a service to another version.
type Order struct {
	Service string
	// To is the version of the servers that are to get the traffic.
	To string
	// Duration is the time within which the traffic is to be moved.
	Duration time.Duration
	// Revision is the store's revision at the write of the order, which tells one order from the next. The zero order has 0.
	Revision int64
}

// Record is how far the leader has carried out an order, as the store has it.
type Record struct {
	Service string
	// Order is the revision of the order, and To its version.
	Order int64
	To    string
	Phase Phase
	// Started is when the order was first seen, and PhaseStarted when the phase began, by the wall clock of the entries.
	Started      time.Time
	PhaseStarted time.Time
	// Duration is that of the order.
	Duration time.Duration
	// Base are the versions that served before the order. Empty means that they are not known.
	Base []string
	// Revision is the store's revision at the write of the record, 0 for none.
	Revision int64
}

// WithPhase returns the record in a phase that began at a time.
func (record Record) WithPhase(phase Phase, at time.Time) Record {
	record.Phase, record.PhaseStarted = phase, at
	return record
}

// staysAfter reports whether the record stays in effect after a read of the store that has another record beside an order: an earlier one,
// or for the order of this record, none or one from a backup that is of another order or an earlier phase.
func (record Record) staysAfter(read Record, order Order) bool {
	switch {
	case read.Revision < record.Revision:
		return true
	case record.Order == 0 || record.Order != order.Revision:
		return false
	case read.Order == 0:
		return true
	}
	isFromBackup := directory.Era(read.Revision) > directory.Era(record.Revision)
	return isFromBackup && (read.Order != record.Order || read.Phase.rank() < record.Phase.rank())
}

// excludes reports whether a version gets no calls if the record has no order any more, since it was not shown to be good.
func (record Record) excludes(version string) bool {
	return record.Revision != 0 && record.Phase != PhaseDone && version == record.To && !slices.Contains(record.Base, version)
}

// Plan is what the store has about the version of one service: the latest order and the record, each zero for none. The record may
// be that of an earlier order.
type Plan struct {
	Order  Order
	Record Record
}

// Plans are the plans by service.
type Plans map[string]Plan

// Phase returns the phase of the order. An order without a record is in its trial, unless the version already serves.
func (plan Plan) Phase() Phase {
	switch {
	case plan.Record.Order == plan.Order.Revision:
		return plan.Record.Phase
	case plan.servesAlready():
		return PhaseShift
	}
	return PhaseTrial
}

// servesAlready reports whether the version of an order without a record already serves: it was the result of an earlier order, or
// what an order that has not ended well started from.
func (plan Plan) servesAlready() bool {
	return plan.Record.Revision != 0 && slices.Contains(plan.Record.result(), plan.Order.To)
}

// Base returns the versions that serve until the order is done, nil if they are not known.
func (plan Plan) Base() []string {
	if plan.Record.Order == plan.Order.Revision {
		return plan.Record.Base
	}
	if plan.Record.Revision == 0 {
		return nil
	}
	return plan.Record.result()
}

// result returns the versions that serve if no other order follows. A version that was not shown to be good is none of them.
func (record Record) result() []string {
	if record.Phase == PhaseDone {
		return []string{record.To}
	}
	return record.Base
}

// IsZero reports whether the store has neither an order nor a record, so that all versions serve.
func (plan Plan) IsZero() bool { return plan.Order.Revision == 0 && plan.Record.Revision == 0 }

// Same reports whether two plans are those of the same writes to the store.
func (plan Plan) Same(other Plan) bool {
	return plan.Order == other.Order && plan.Record.Revision == other.Record.Revision
}
