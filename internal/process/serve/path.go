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

// paths returns the request path for callers and the one for orders that other entries forward.
//
// Both start at the gate, so that a stop waits for their requests, and share the
// state that filters learn from answers. The path for forwarded orders has no admission
// filter, because the entry that received the order from the caller has already counted
// it against the limits of the client account. It has no handover filter either,
// because orders are not handed over.
func (entry *Entry) paths(metrics *telemetry.Metrics, recentResults *request.RecentResults) (callers, forwarded request.Handler) {
	retryStates, suspects := request.NewRetryStates(), entry.suspects
	services := service.New(entry.settings.DialTimeout)
	estimator := rcu.New(account.Estimator{})
	queues := request.NewQueues(entry.snapshots, entry.gossipNode, estimator)
	common := request.Chain(
		request.Dispatch(engine.New(entry.settings.DialTimeout), services),
		booking.AtMostOnce(entry.ledger, service.NewStatusClient(services, random{})),
		queues.WaitForSlot(),
		request.Retry(retryStates, entry.snapshots, random{}, retry.PolicyResume),
		request.Hedge(retryStates),
		request.Quarantine(suspects),
		queues.PreferFreeServers(),
		request.ChooseWith(request.PoolChooser{Random: random{}, Domain: entry.settings.Domain}),
		queues.CountLongWork(),
		request.Isolate(suspects),
		request.Relay(retryStates),
	)
	callers = request.Chain(common,
		entry.gate.Filter(),
		request.RecordResults(metrics, recentResults, telemetry.NewRequestLog(entry.logger)),
		request.Identify(entry.snapshots),
		request.Estimate(estimator),
		entry.gossipNode.demandSync.admission.Admit(),
		entry.shutdown.handover.Filter(),
	)
	forwarded = request.Chain(common,
		entry.gate.Filter(),
		request.RecordResults(recentResults),
		request.Identify(entry.snapshots),
		request.Estimate(estimator),
	)
	return callers, forwarded
}
