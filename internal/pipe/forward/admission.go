package forward

import (
	"math/rand/v2"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/overload"
)

// Admission rejects calls to the engines of a service that could not be answered in time, separately for each service. It is
// safe for concurrent use.
type Admission struct {
	clock    Clock
	limiters rcu.Cells[string, overload.Limiter]
}

// NewAdmission returns an admission that has seen no calls.
func NewAdmission(clock Clock) *Admission {
	return &Admission{clock: clock, limiters: rcu.NewCells[string, overload.Limiter]()}
}

// Admit returns the admitted call, which must be ended, or a refusal.
func (admission *Admission) Admit(service string, properties overload.Call) (*AdmittedCall, *call.Refusal) {
	now, cell := admission.clock.Now(), admission.limiters.GetOrCreate(service, overload.Limiter{})
	limiter, admitted := rcu.Apply(cell, func(limiter overload.Limiter) (overload.Limiter, bool) { return limiter.WithCall(properties, now) })
	if !admitted {
		return nil, refusalOfLimiter(service, limiter, properties, now)
	}
	return &AdmittedCall{admission: admission, cell: cell, properties: properties, admittedAt: now}, nil
}

// check returns the refusal that [Admission.Admit] would return, nil for none, without counting the call.
func (admission *Admission) check(service string, properties overload.Call) *call.Refusal {
	now, cell := admission.clock.Now(), admission.limiters.All()[service]
	if cell == nil {
		return nil
	}
	limiter, admitted := cell.Load().WithCall(properties, now)
	if admitted {
		return nil
	}
	return refusalOfLimiter(service, limiter, properties, now)
}

// refusalOfLimiter returns the refusal of a call that the limiter of its service did not admit.
func refusalOfLimiter(service string, limiter overload.Limiter, properties overload.Call, now time.Duration) *call.Refusal {
	wait := limiter.ExpectedWait(now).Round(time.Millisecond)
	return call.Refuse(call.ReasonQueueFull, "service %s would start to answer in %s, target %s", service, wait, properties.Target).
		WithRetryAfter(limiter.RetryAfter(properties, rand.Float64(), now))
}

// AdmittedCall is a call that waits for the first part of its answer. One thread uses it; nil stands for a call that was
// not subject to the admission.
type AdmittedCall struct {
	admission  *Admission
	cell       *rcu.Cell[overload.Limiter]
	properties overload.Call
	admittedAt time.Duration
	ended      bool
	// shared is the call as one that is subject to sharing.
	shared *SharedCall
}

// answered records that the first part of the answer has arrived.
func (admitted *AdmittedCall) answered() {
	admitted.finish(overload.Limiter.WithAnswer)
	if admitted != nil {
		admitted.shared.setAnswered()
	}
}

// end records that the call has ended. It changes nothing after answered.
func (admitted *AdmittedCall) end() {
	admitted.finish(overload.Limiter.WithoutAnswer)
	if admitted != nil {
		admitted.shared.end()
	}
}

// finish replaces the limiter by the result of change, which receives the time that the call waited, unless that was done
// before.
func (admitted *AdmittedCall) finish(change func(limiter overload.Limiter, properties overload.Call, wait, now time.Duration) overload.Limiter) {
	if admitted == nil || admitted.ended || admitted.cell == nil {
		return
	}
	admitted.ended = true
	now := admitted.admission.clock.Now()
	admitted.cell.Update(func(limiter overload.Limiter) overload.Limiter {
		return change(limiter, admitted.properties, now-admitted.admittedAt, now)
	})
}
