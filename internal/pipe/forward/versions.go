package forward

import (
	"net/http"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/attempt"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/placement"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/prefill"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/rollout"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/route"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/work"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

const (
	// slowStartTime is the time after a server's start in which it may be slow, so that the times of its answers are not compared.
	slowStartTime = 2 * time.Second
	// maxAssignments bounds the choices for one attempt. Another one is needed only when the phase of a roll-out changes in between.
	maxAssignments = 3
)

// assign chooses the server of the next attempt among those of the versions that may get it. Without an error, the attempt has
// begun in the counts of the roll-outs.
func (delivery *Delivery) assign(exchange request.Exchange, service string, estimate work.Estimate, state attempt.State) (placement.Choice, error) {
	rollouts, first := delivery.dependencies.Rollouts, len(exchange.TriedServers) == 0
	for range maxAssignments {
		selected := rollouts.selectServers(delivery.dependencies.Directory.Servers(), service, exchange.Route.Name, first)
		choice, err := delivery.choose(exchange, service, selected.preferred, estimate, state)
		exposed := selected.exposes && err == nil
		if err != nil && len(selected.fallback) > 0 {
			choice, err = delivery.choose(exchange, service, selected.fallback, estimate, state)
		}
		begun := err == nil && rollouts.begin(choice.Server)
		if selected.exposes && (!exposed || !begun) {
			rollouts.returnExposure(service, exchange.Route.Name)
		}
		if begun || err != nil {
			return choice, err
		}
	}
	return placement.Choice{}, failureIfRan(state, call.Refuse(call.ReasonNoBackend, "the versions of service %s that may get calls are changing", service).
		WithRetryAfter(noServerRetryAfter))
}

// times returns what was measured of an answer of a kind of route, whose end has just arrived. The pace of a stream is the time between its
// pieces, of which each completes one event or more.
func (work attemptWork) times(kind route.Kind, uncachedTokens int, now time.Time) rollout.Times {
	prefillTime := time.Duration(float64(uncachedTokens) / prefill.NominalRate * float64(time.Second))
	if kind != route.KindStream {
		return rollout.Times{First: rollout.FirstRatio(now.Sub(work.sentAt), prefillTime)}
	}
	if work.pieces == 0 {
		return rollout.Times{}
	}
	times := rollout.Times{First: rollout.FirstRatio(work.firstAt.Sub(work.sentAt), prefillTime)}
	if work.pieces >= minPaceEvents {
		times.Pace = work.lastAt.Sub(work.firstAt).Seconds() / float64(work.pieces-1)
	}
	return times
}

// countsForVersion reports whether an attempt says something about the version of its server, and whether it failed. A refusal, a
// caller that left, and the end of a server that is leaving say nothing.
func countsForVersion(failure *call.Failure, status int, leaving bool) (counts, failed bool) {
	switch {
	case failure == nil:
		return true, status >= http.StatusInternalServerError
	case failure.Ran == call.RanNo, failure.Cause == call.CauseCancelled, leaving:
		return false, false
	}
	return true, true
}

// recordVersion counts the answer of a server for the roll-out of its service.
func (delivery *admittedDelivery) recordVersion(exchange request.Exchange, choice placement.Choice, failure *call.Failure, status int) {
	rollouts, server, now := delivery.dependencies.Rollouts, choice.Server, time.Now()
	if rollouts == nil {
		return
	}
	_, takesCalls := listedServer(delivery.dependencies.Directory.Servers().OfService(server.Service), server)
	counts, failed := countsForVersion(failure, status, !takesCalls)
	if !counts {
		return
	}
	times := rollout.Times{}
	if !failed && now.UnixMilli()-server.StartedMs >= slowStartTime.Milliseconds() {
		times = delivery.callWork.times(exchange.Route.Kind, choice.UncachedTokens, now)
	}
	rollouts.recordAnswer(server, exchange.Route.Name, failed, times)
}

// listedServer returns the server of a list that is the same incarnation as another.
func listedServer(servers []directory.Server, server directory.Server) (directory.Server, bool) {
	for _, listed := range servers {
		if listed.ID == server.ID && listed.StartedMs == server.StartedMs {
			return listed, true
		}
	}
	return directory.Server{}, false
}
