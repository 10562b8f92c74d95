package rollout

import (
	"slices"
	"time"
)

const (
	// trialShare is the part of an order's duration for which its trial lasts at least, since faults may begin late. The rest is for
	// calls in progress at old servers to end.
	trialShare = 0.5
	// minShift is the time for which the shift lasts at least: the sums of its answers take up to 1.5 s to the leader.
	minShift = 2 * time.Second
	// minSettled is the time for which all entries must have reported that they have moved, as reports of some may be that old.
	minSettled = time.Second
	// deadlineMargin is the time before the deadline at which a trial without a verdict is rolled back, for the write of it.
	deadlineMargin = 700 * time.Millisecond
	// maxBase bounds the versions that a record names.
	maxBase = 16
)

// Reason says why an order entered a phase.
type Reason string

// The reasons.
const (
	ReasonOrdered       Reason = "Ordered"
	ReasonServesAlready Reason = "ServesAlready"
	ReasonSound         Reason = "Sound"
	ReasonBad           Reason = "Bad"
	ReasonMoved         Reason = "Moved"
	ReasonDeadline      Reason = "Deadline"
	ReasonNoServers     Reason = "NoServers"
	ReasonOrderRemoved  Reason = "OrderRemoved"
	// ReasonRestored means that the store has lost a record that the entries know, or has an older or malformed one.
	ReasonRestored Reason = "Restored"
)

// Situation is what the leader knows of one service.
type Situation struct {
	// State is the leader's own, with the plan of the store.
	State State
	// FirstSeen is when an entry that the leader knows of first saw the order, and Now the time.
	FirstSeen, Now time.Time
	// Verdict is that of the evidence of all entries.
	Verdict Verdict
	// Versions are those of the listed servers, and NewServers is the number of those of the new version that take calls.
	Versions   []string
	NewServers int
	// SettledFor is the time for which all live entries have reported that they have moved.
	SettledFor time.Duration
}

// Elapsed returns the part of the order's duration that has passed.
func (situation Situation) Elapsed() float64 {
	return situation.Now.Sub(situation.started()).Seconds() / situation.State.plan.Order.Duration.Seconds()
}

// started returns when the order began.
func (situation Situation) started() time.Time {
	if record := situation.State.plan.Record; record.Order == situation.State.plan.Order.Revision && !record.Started.IsZero() {
		return record.Started
	}
	return situation.FirstSeen
}

// Next returns the record that follows, or false if the present one stays.
func Next(situation Situation) (Record, Reason, bool) {
	plan := situation.State.plan
	switch {
	case plan.Order.Revision == 0:
		return afterRemoval(plan.Record, situation.Now)
	case plan.Record.Order != plan.Order.Revision:
		return situation.firstRecord()
	case situation.State.stored.Record.Revision != plan.Record.Revision:
		return plan.Record, ReasonRestored, true
	case plan.Record.Phase.Ended():
		return Record{}, "", false
	}
	enter := func(phase Phase, reason Reason) (Record, Reason, bool) {
		return plan.Record.WithPhase(phase, situation.Now), reason, true
	}
	elapsed := situation.Now.Sub(situation.started())
	switch {
	case situation.State.done:
		return enter(PhaseDone, ReasonRestored)
	case situation.State.stopped, situation.Verdict == VerdictBad:
		return enter(PhaseRolledBack, ReasonBad)
	case plan.Record.Phase == PhaseTrial && elapsed >= plan.Order.Duration-deadlineMargin:
		return enter(PhaseRolledBack, ReasonDeadline)
	case plan.Record.Phase == PhaseTrial:
		if situation.Verdict == VerdictSound && situation.NewServers > 0 && elapsed >= time.Duration(trialShare*float64(plan.Order.Duration)) {
			return enter(PhaseShift, ReasonSound)
		}
	case situation.NewServers == 0 && elapsed >= plan.Order.Duration-deadlineMargin:
		return enter(PhaseRolledBack, ReasonNoServers)
	case situation.NewServers > 0 && situation.SettledFor >= minSettled && situation.Now.Sub(plan.Record.PhaseStarted) >= minShift:
		return enter(PhaseDone, ReasonMoved)
	}
	return Record{}, "", false
}

// afterRemoval returns the record after the operator took an order back.
func afterRemoval(record Record, now time.Time) (Record, Reason, bool) {
	if record.Revision == 0 || record.Phase.Ended() {
		return Record{}, "", false
	}
	return record.WithPhase(PhaseRolledBack, now), ReasonOrderRemoved, true
}

// firstRecord returns the first record of an order. If the store has lost the record of an order that has ended, the end stays.
func (situation Situation) firstRecord() (Record, Reason, bool) {
	plan := situation.State.plan
	record := Record{
		Service: plan.Order.Service, Order: plan.Order.Revision, To: plan.Order.To, Started: situation.FirstSeen, Duration: plan.Order.Duration,
		Base: slices.DeleteFunc(slices.Clone(plan.Base()), func(version string) bool { return version == plan.Order.To }),
	}
	if plan.Record.Revision == 0 {
		record.Base = situation.listedBase()
	}
	if plan.servesAlready() {
		// Without a base, versions that were not shown to be good would count as old.
		record.Base = []string{plan.Order.To}
		return record.WithPhase(PhaseShift, situation.Now), ReasonServesAlready, true
	}
	switch {
	case situation.State.done:
		return record.WithPhase(PhaseDone, situation.Now), ReasonRestored, true
	case situation.State.stopped:
		return record.WithPhase(PhaseRolledBack, situation.Now), ReasonRestored, true
	}
	return record.WithPhase(PhaseTrial, situation.Now), ReasonOrdered, true
}

// listedBase returns the versions of the listed servers without the new one.
func (situation Situation) listedBase() []string {
	var base []string
	for _, version := range situation.Versions {
		if version != situation.State.plan.Order.To && !slices.Contains(base, version) && len(base) < maxBase {
			base = append(base, version)
		}
	}
	slices.Sort(base)
	return base
}
