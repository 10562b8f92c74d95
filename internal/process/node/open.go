package node

import (
	"github.com/rosemaryspar/rosemaryspar/internal/core/clock"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/forward"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
	"github.com/rosemaryspar/rosemaryspar/internal/process/resources"
	"github.com/rosemaryspar/rosemaryspar/internal/process/telemetry"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/ingress"
	wireshare "github.com/rosemaryspar/rosemaryspar/internal/wire/share"
)

// stepStopping is the step of the refusals of calls that the entry, which is stopping, could not finish.
const stepStopping = "stopping"

// open opens the addresses of the entry. Without the one for metrics, which the platform does not keep free, an entry serves all the same.
func (node *Node) open(boot clock.Boot) error {
	settings := node.settings.Load()
	node.client = backend.New(node.platform.Codec)
	delivery := node.newDelivery(boot)
	explaining := &explainHandler{explainer: forward.NewExplainer(node.sharedState, node.limits, delivery)}
	recorder := request.Recorders{node.metrics, telemetry.NewCallLog(node.logger)}
	var err error
	node.ingress, err = ingress.Listen(settings.FrontAddress, node.platform.Codec, node.sharedState, node.newChain(delivery, recorder), recorder)
	if err != nil {
		return err
	}
	peerHandler := wireshare.NewUsageFilter(node.syncer, node.sharedState, settings.UsageWindow, node)
	if node.peerServer, err = wireshare.Listen(settings.PeerAddress, peerHandler); err != nil {
		return err
	}
	if node.statusServer, err = listenStatusServer(settings.ReadyAddress, node.platform.ReadyPath, node.Ready, node.metrics, explaining); err != nil {
		return err
	}
	if settings.MetricsAddress != "" {
		node.metricsServer, err = listenStatusServer(settings.MetricsAddress, node.platform.ReadyPath, node.Ready, node.metrics, explaining)
		if err != nil {
			node.logger.Warn().Err(err).Msg("could not open the address for metrics; they are at the readiness address only")
		}
	}
	resources.Record(node.metrics, node.logger, node.openAddresses()...)
	node.limitClients(settings.limits())
	return nil
}

// newDelivery returns the last handler of the chain of calls.
func (node *Node) newDelivery(boot clock.Boot) *forward.Delivery {
	return forward.NewDelivery(forward.Dependencies{
		Backends: backends{node.client}, Directory: node.sharedState, Observations: node.observations, Clock: boot,
		Usage: node.usageCounter, Demand: node.demand, Notices: noticeRecorder{node.metrics, node.logger}, Failures: node.failures,
		RetryBudgets: node.retryBudgets, Admission: forward.NewAdmission(boot), Sharing: node.sharing, Crashes: node.crashes, PartCrashes: node.partCrashes,
		Estimates: node.estimates, Rollouts: node.rollouts,
		Revocation: forward.NewRevocation(node.sharedState, node.maxRoutesAge), Events: node.platform.Events,
	})
}

// newChain returns the chain of filters of calls, which ends with the delivery.
func (node *Node) newChain(delivery *forward.Delivery, recorder request.Recorders) request.Handler {
	return request.Chain(delivery,
		request.RecordResults(recorder),
		request.RefusalStep(request.StepGate), node.gate.Filter(),
		request.RefusalStep(forward.StepMatch), forward.Match(node.sharedState),
		request.RefusalStep(stepStopping), node.stopping.Filter(),
		request.RefusalStep(forward.StepLimit), node.limits.Filter(),
		request.RefusalStep(forward.StepCrashing), node.crashes.Filter(), node.partCrashes.Filter(),
		request.RefusalStep(forward.StepDeliver))
}
