package rollout

import (
	"maps"
	"math"
)

// Verdict is what the evidence says about a new version.
type Verdict string

// The verdicts.
const (
	// VerdictInsufficient means that there are too few answers to tell.
	VerdictInsufficient Verdict = "Insufficient"
	// VerdictSound means that the new version is as good as the old one, within the difference that the test can see.
	VerdictSound Verdict = "Sound"
	// VerdictBad means that a part of the new version's answers fails or is slow that is not so at the old version.
	VerdictBad Verdict = "Bad"
)

const (
	// badShare is the part of the answers that a bad version spoils at least.
	badShare = 0.2
	// minUsualTrial and minUsualShift are the least share of spoiled answers that counts as usual. In the shift the old version has few
	// answers left to compare with, so more spoiled ones are needed to call the new one bad.
	minUsualTrial, minUsualShift = 0.03, 0.08
	// maxUsual is the highest share of spoiled answers that counts as usual.
	maxUsual = 0.6
	// usualMargin is the number of standard errors that the old version's share is taken higher by, since it is an estimate.
	usualMargin = 1.0
	// badThreshold is the sum of log-likelihood ratios from which on a version is bad. A sound version reaches it once in about
	// exp(14) = 1.2 million answers, and one that spoils a fifth of its answers after about 60, or 150 where 0.14 are usual.
	badThreshold = 14.0
	// minSpoiled is the number of spoiled answers that a bad version has at least, so that one crash of a server does not decide.
	minSpoiled = 15
	// soundThreshold is the sum from which on a route counts as sound: a version that spoils a fifth of its answers gets there in
	// 1 of 100 trials.
	soundThreshold = -4.6
	// lateThreshold replaces it, for the sum over all routes, from lateShare of an order's duration on, and lastThreshold from lastShare
	// on: the share of the trial has few answers where a service has few calls.
	lateThreshold, lastThreshold = -3.0, -1.5
	lateShare, lastShare         = 0.65, 0.72
	// maxSoundTrend is the sum of recent ratios up to which a route counts as sound.
	maxSoundTrend = 4.0
	// minRouteAnswers is the number of answers of the old version from which on a route has traffic.
	minRouteAnswers = 5
)

// trend is the sum of the log-likelihood ratios of recent answers for a bad version against a sound one, never below 0, with the
// number of spoiled answers since it was 0. A fault that begins late is seen as soon as one that was there from the start.
type trend struct{ ratios, spoiled float64 }

// with returns the trend after more answers of which some are spoiled, where a share of spoiled ones is usual.
func (trend trend) with(answers, spoiled, usual float64) trend {
	trend.ratios += logRatio(answers, spoiled, usual)
	trend.spoiled += spoiled
	if trend.ratios <= 0 {
		trend.ratios, trend.spoiled = 0, 0
	}
	return trend
}

func (trend trend) isBad() bool { return trend.ratios >= badThreshold && trend.spoiled >= minSpoiled }

// logRatio returns the logarithm of how much more likely an observation is if badShare of the answers are spoiled in addition to
// the usual share of them.
func logRatio(answers, spoiled, usual float64) float64 {
	bad := usual + badShare*(1-usual)
	return spoiled*math.Log(bad/usual) + (answers-spoiled)*math.Log((1-bad)/(1-usual))
}

// trends are those of one route, or of all.
type trends struct{ failed, slow trend }

// Monitor watches the evidence of one order. It is immutable.
type Monitor struct {
	order  int64
	phase  Phase
	seen   Totals
	routes map[string]trends
	all    trends
	bad    bool
}

// WithEvidence returns the monitor after the evidence of an order has grown to totals, in a phase of the order.
func (monitor Monitor) WithEvidence(totals Totals, order int64, phase Phase) Monitor {
	if monitor.order != order {
		monitor = Monitor{order: order}
	}
	if monitor.phase != phase {
		monitor.phase, monitor.routes, monitor.all = phase, nil, trends{}
	}
	grown := totals.GrowthSince(monitor.seen)
	monitor.seen = totals
	monitor.routes = maps.Clone(monitor.routes)
	if monitor.routes == nil {
		monitor.routes = map[string]trends{}
	}
	for key, counts := range grown {
		if key.Order != order || key.Side != SideNew {
			continue
		}
		usualFailed, usualSlow := monitor.usualShares(key.Route)
		route := monitor.routes[key.Route]
		route.failed = route.failed.with(counts.Answers, counts.Failed, usualFailed)
		route.slow = route.slow.with(counts.Compared, counts.Slow, usualSlow)
		monitor.all.failed = monitor.all.failed.with(counts.Answers, counts.Failed, usualFailed)
		monitor.all.slow = monitor.all.slow.with(counts.Compared, counts.Slow, usualSlow)
		monitor.routes[key.Route] = route
		monitor.bad = monitor.bad || route.isBad()
	}
	monitor.bad = monitor.bad || monitor.all.isBad()
	return monitor
}

func (trends trends) isBad() bool { return trends.failed.isBad() || trends.slow.isBad() }

// isSuspicious reports whether recent answers contradict a sound version, although they do not show a bad one yet.
func (trends trends) isSuspicious() bool {
	return max(trends.failed.ratios, trends.slow.ratios) > maxSoundTrend
}

// usualShares returns the shares of failed and slow answers of a route that are usual.
func (monitor Monitor) usualShares(route string) (failed, slow float64) {
	old, least := monitor.seen[Key{monitor.order, route, SideOld}], minUsualTrial
	if monitor.phase == PhaseShift {
		least = minUsualShift
	}
	return usualShare(old.Failed, old.Answers, least), usualShare(old.Slow, old.Compared, least)
}

// usualShare returns the share of spoiled answers that is usual, a little above the one found, and at least least.
func usualShare(spoiled, answers, least float64) float64 {
	share := (spoiled + 0.5) / (answers + 1) // Neither 0 nor 1, so that the standard error is not 0.
	if answers < minReference {
		share = least
	}
	return min(maxUsual, max(least, share+usualMargin*math.Sqrt(share*(1-share)/(answers+1))))
}

// IsBad reports whether the evidence has shown the new version to be bad at any time.
func (monitor Monitor) IsBad() bool { return monitor.bad }

// Verdict returns what the evidence says after a part of the order's duration. Late in it, routes with few answers count together.
func (monitor Monitor) Verdict(elapsed float64) Verdict {
	if monitor.bad {
		return VerdictBad
	}
	failed, slow, sound := 0.0, 0.0, true
	for _, route := range monitor.withTraffic() {
		routeFailed, routeSlow := monitor.ratios(route)
		failed, slow = failed+routeFailed, slow+routeSlow
		if monitor.routes[route].isSuspicious() {
			return VerdictInsufficient
		}
		sound = sound && routeFailed <= soundThreshold && routeSlow <= soundThreshold
	}
	// The sum is 0 where no route has both traffic and an answer of the new version.
	if failed == 0 || monitor.all.isSuspicious() {
		return VerdictInsufficient
	}
	ratios := max(failed, slow)
	if sound || elapsed >= lateShare && ratios <= lateThreshold || elapsed >= lastShare && ratios <= lastThreshold {
		return VerdictSound
	}
	return VerdictInsufficient
}

// ratios returns the sums of the log-likelihood ratios of all answers of a route.
func (monitor Monitor) ratios(route string) (failed, slow float64) {
	counts := monitor.seen[Key{monitor.order, route, SideNew}]
	usualFailed, usualSlow := monitor.usualShares(route)
	return logRatio(counts.Answers, counts.Failed, usualFailed), logRatio(counts.Compared, counts.Slow, usualSlow)
}

// withTraffic returns the routes that have traffic.
func (monitor Monitor) withTraffic() []string {
	var routes []string
	for key, counts := range monitor.seen {
		if key.Order == monitor.order && key.Side == SideOld && counts.Answers >= minRouteAnswers {
			routes = append(routes, key.Route)
		}
	}
	return routes
}

// Summary is the evidence of one order, for log lines.
type Summary struct {
	OldAnswers, OldFailed, OldSlow float64
	NewAnswers, NewFailed, NewSlow float64
}

// Summary returns the evidence so far, over all routes.
func (monitor Monitor) Summary() Summary {
	before, after := monitor.seen.OnSide(monitor.order, SideOld), monitor.seen.OnSide(monitor.order, SideNew)
	return Summary{before.Answers, before.Failed, before.Slow, after.Answers, after.Failed, after.Slow}
}
