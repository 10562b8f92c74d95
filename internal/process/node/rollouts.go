package node

import (
	"slices"

	"github.com/rs/zerolog"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/cluster"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/rollout"
	"github.com/rosemaryspar/rosemaryspar/internal/process/telemetry"
)

// mergeRollouts adds up what the peers have counted of roll-outs, and passes on a stop at once.
func (node *Node) mergeRollouts(aggregates []cluster.Aggregate) {
	if node.rollouts == nil {
		return
	}
	if node.rollouts.MergePeers(aggregates) {
		node.sharedState.RequestRound()
	}
	node.sharedState.RetainEvidence(node.rollouts.IsCounted)
	node.logMalformedRollouts()
}

// logMalformedRollouts logs the malformed orders and records of roll-outs when they have changed.
func (node *Node) logMalformedRollouts() {
	keys := node.sharedState.Routes().MalformedRollouts()
	if slices.Equal(keys, node.loggedRollouts) {
		return
	}
	for _, key := range keys {
		if !slices.Contains(node.loggedRollouts, key) {
			node.metrics.Count("rollout_items_malformed_total")
		}
	}
	node.loggedRollouts = keys
	node.logger.Warn().Strs("Keys", keys).Msg("malformed orders or records of roll-outs are ignored; they have changed")
}

// rolloutRecorder counts and logs what happens in roll-outs.
type rolloutRecorder struct {
	metrics *telemetry.Metrics
	logger  zerolog.Logger
}

// RecordRolloutAnswer counts an answer by the service, the version of the server and the result.
func (rolloutRecorder rolloutRecorder) RecordRolloutAnswer(service, version string, failed bool) {
	result := "sound"
	if failed {
		result = "failed"
	}
	rolloutRecorder.metrics.Count("rollout_answers_total", telemetry.Label{Name: "service", Value: service},
		telemetry.Label{Name: "version", Value: version}, telemetry.Label{Name: "result", Value: result})
}

// RecordRolloutStop counts and logs that this entry sends no more calls to the servers of a version.
func (rolloutRecorder rolloutRecorder) RecordRolloutStop(plan rollout.Plan, evidence rollout.Summary, byPeer bool) {
	source := "evidence"
	if byPeer {
		source = "peer"
	}
	rolloutRecorder.metrics.Count("rollout_stops_total", telemetry.Label{Name: "service", Value: plan.Order.Service},
		telemetry.Label{Name: "source", Value: source})
	rolloutRecorder.logger.Warn().Str("Service", plan.Order.Service).Str("To", plan.Order.To).Int64("Order", plan.Order.Revision).Str("Source", source).
		Interface("Evidence", evidence).Msg("the new version is bad; this entry sends it no more calls")
}

// RecordRolloutStep counts a step of an order by the service, the phase and the reason.
func (rolloutRecorder rolloutRecorder) RecordRolloutStep(record rollout.Record, reason rollout.Reason) {
	rolloutRecorder.metrics.Count("rollout_steps_total", telemetry.Label{Name: "service", Value: record.Service},
		telemetry.Label{Name: "phase", Value: string(record.Phase)}, telemetry.Label{Name: "reason", Value: string(reason)})
}
