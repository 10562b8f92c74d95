package serve

import (
	"github.com/rosemaryspar/rosemaryspar/internal/decide/retry"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/booking"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
	"github.com/rosemaryspar/rosemaryspar/internal/process/telemetry"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/engine"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/service"
)

// path returns the request path of the entry.
func (entry *Entry) path(metrics *telemetry.Metrics, journal *request.Journal) request.Handler {
	recovery := request.NewRecovery()
	services := service.New(entry.settings.DialTimeout)
	return request.Chain(
		request.Dispatch(engine.New(entry.settings.DialTimeout), services),
		entry.gate.Filter(),
		request.Settle(metrics, journal, telemetry.NewRequestLog(entry.logger)),
		request.Identify(entry.snapshots),
		entry.departure.handover.Filter(),
		booking.Once(entry.ledger, service.NewStatus(services, random{})),
		request.Retry(recovery, entry.snapshots, random{}, retry.PolicyResume),
		request.Hedge(recovery),
		request.ChooseBy(request.Selection{Random: random{}, Domain: entry.settings.Domain}),
		request.Relay(recovery),
	)
}
