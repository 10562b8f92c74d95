package serve

import (
	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/account"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/retry"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/booking"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
	"github.com/rosemaryspar/rosemaryspar/internal/process/telemetry"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/engine"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/service"
)

// paths returns the request path of callers, and that of orders which other entries forward.
//
// Both pass the gate, so that a stop waits for them, and share all that learns.
// A forwarded order was admitted by the entry that took it from its caller, and
// is not counted against its client account's limits twice.
func (entry *Entry) paths(metrics *telemetry.Metrics, journal *request.RecentResults) (callers, forwarded request.Handler) {
	recovery, suspects := request.NewRetryStates(), entry.suspects
	services := service.New(entry.settings.DialTimeout)
	estimator := rcu.New(account.Estimator{})
	queues := request.NewQueues(entry.snapshots, entry.membership, estimator)
	work := request.Chain(
		request.Dispatch(engine.New(entry.settings.DialTimeout), services),
		booking.AtMostOnce(entry.ledger, service.NewStatusClient(services, random{})),
		queues.WaitForSlot(),
		request.Retry(recovery, entry.snapshots, random{}, retry.PolicyResume),
		request.Hedge(recovery),
		request.Quarantine(suspects),
		queues.PreferFreeServers(),
		request.ChooseWith(request.PoolChooser{Random: random{}, Domain: entry.settings.Domain}),
		queues.CountLongWork(),
		request.Isolate(suspects),
		request.Relay(recovery),
	)
	callers = request.Chain(work,
		entry.gate.Filter(),
		request.RecordResults(metrics, journal, telemetry.NewRequestLog(entry.logger)),
		request.Identify(entry.snapshots),
		request.Estimate(estimator),
		entry.membership.limits.admission.Admit(),
		entry.departure.handover.Filter(),
	)
	forwarded = request.Chain(work,
		entry.gate.Filter(),
		request.RecordResults(journal),
		request.Identify(entry.snapshots),
		request.Estimate(estimator),
	)
	return callers, forwarded
}
