package serve

import (
	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/account"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/retry"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/booking"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/engine"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/service"
)

// backPath returns the request path from the identification on.
//
// Requests of callers and orders that other entries forward both reach it through
// the gate, so that a stop waits for them.
func (entry *Entry) backPath() request.Handler {
	recovery, suspects := request.NewRecovery(), entry.suspects
	services := service.New(entry.settings.DialTimeout)
	estimator := rcu.New(account.Estimator{})
	queues := request.NewQueues(entry.snapshots, entry.membership, estimator)
	return request.Chain(
		request.Dispatch(engine.New(entry.settings.DialTimeout), services),
		request.Identify(entry.snapshots),
		request.Estimate(estimator),
		entry.membership.limits.admission.Admit(),
		entry.departure.handover.Filter(),
		booking.Once(entry.ledger, service.NewStatus(services, random{})),
		queues.Wait(),
		request.Retry(recovery, entry.snapshots, random{}, retry.PolicyResume),
		request.Hedge(recovery),
		request.Quarantine(suspects),
		queues.Place(),
		request.ChooseBy(request.Selection{Random: random{}, Domain: entry.settings.Domain}),
		queues.Hold(),
		request.Isolate(suspects),
		request.Relay(recovery),
	)
}
