package overload

import (
	"math"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/decay"
)

const (
	// slowWindow and fastWindow are the time constants with which the counts of answers decay. The slow one bounds the time
	// until a loss of servers shows in the rate, and the fast one follows a burst that the servers can answer.
	slowWindow = time.Second
	fastWindow = 200 * time.Millisecond
	// minFastAnswers is the number of answers in the fast window from which on it says something about the rate.
	minFastAnswers = 5
	// minWaiting is the number of waiting calls up to which every call is admitted: fewer say little about a queue, since a
	// single long prompt takes as long as many short ones.
	minWaiting = 7
	// targetFactor is the multiple of the target latency that a call may be expected to wait, since the mean wait of a busy
	// service is mostly that of a few long prompts. An answer that is somewhat late is worth more than a rejection.
	targetFactor = 2
	// timeLeftShare is the part of the time that its caller still waits, which a call may be expected to wait at most.
	timeLeftShare = 0.5
	// lowestWaitCut is the part by which the allowed wait is shortened for calls of the lowest priority of a service.
	lowestWaitCut = 0.5
	// baseFactor is the multiple of the shortest usual wait that a call may be expected to wait, whatever its target: where
	// servers need that long without a queue, a limit on the calls would only lower the rate of answers.
	baseFactor = 8
	// baseDoubling is the time in which the shortest usual wait doubles while no answer takes less.
	baseDoubling = 20 * time.Second
	// lateWeight is the weight of an answer in the average share of late ones, and minLateShare the share from which on calls
	// may be rejected. After a step of the demand, the rate of answers is low for a moment although none is late.
	lateWeight   = 0.25
	minLateShare = 0.3
	// overloadTime is how long calls may be rejected after that share was reached, or after the last rejection.
	overloadTime = 3 * time.Second
	// minRetryAfter and maxRetryAfter bound the time after which a rejected caller may retry.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 1500 * time.Millisecond
	// maxExpectedWait is the expected wait while there are no answers.
	maxExpectedWait = time.Minute
)

// Limiter bounds the calls of one entry that wait for the first part of their answer from the engines of one service. It
// is immutable; the zero value has seen no calls. Times are those of any clock that does not go back.
type Limiter struct {
	// waiting is the number of calls sent that have no answer yet.
	waiting int
	// slow and fast are the decayed numbers of answers at updatedAt, and firstAt is the time of the first one.
	slow, fast float64
	updatedAt  time.Duration
	firstAt    time.Duration
	// base is the shortest usual wait at updatedAt, 0 before the first answer.
	base time.Duration
	// lateShare is the average share of the calls that waited longer than they may be expected to.
	lateShare float64
	// overloadedUntil is the time until which calls may be rejected.
	overloadedUntil time.Duration
}

// Call holds the properties of a call that its admission depends on.
type Call struct {
	// Target is the target latency of the first part of the answer, 0 for none.
	Target time.Duration
	// TimeLeft is the time that the caller still waits for an answer.
	TimeLeft time.Duration
	// HasRoom reports that so few slots are taken at all entries that the call is admitted whatever its expected wait (package sharing).
	HasRoom bool
	// LowerPriority says how low the priority of the call is among those of its service, from 0 to 1. Calls of lower priorities are
	// rejected at shorter expected waits, so that those of higher ones find a shorter queue.
	LowerPriority float64
}

// WithCall returns the limiter after a call, and whether the call is admitted. An admitted call waits until
// [Limiter.WithAnswer] or [Limiter.WithoutAnswer].
func (limiter Limiter) WithCall(call Call, now time.Duration) (Limiter, bool) {
	if limiter.rejects(call, now) {
		limiter.overloadedUntil = now + overloadTime
		return limiter, false
	}
	limiter.waiting++
	return limiter, true
}

// rejects reports whether a call that is made now is rejected.
func (limiter Limiter) rejects(call Call, now time.Duration) bool {
	if call.HasRoom || now >= limiter.overloadedUntil || limiter.waiting < minWaiting {
		return false
	}
	allowed := (1 - lowestWaitCut*call.LowerPriority) * float64(limiter.allowedWait(call, now))
	return float64(limiter.ExpectedWait(now)) > allowed
}

// WithAnswer returns the limiter after the first part of an answer arrived, with the time since the call was admitted.
func (limiter Limiter) WithAnswer(call Call, wait, now time.Duration) Limiter {
	limiter = limiter.withWait(wait > limiter.allowedWait(call, now), now)
	limiter.waiting = max(0, limiter.waiting-1)
	if limiter.base == 0 {
		limiter.firstAt = now
	}
	base := limiter.shortestWait(now)
	limiter.slow = decayed(limiter.slow, now-limiter.updatedAt, slowWindow) + 1
	limiter.fast = decayed(limiter.fast, now-limiter.updatedAt, fastWindow) + 1
	limiter.updatedAt = now
	if base == 0 || wait < base {
		base = wait
	}
	limiter.base = max(base, time.Millisecond)
	return limiter
}

// WithoutAnswer returns the limiter after an admitted call ended without an answer.
func (limiter Limiter) WithoutAnswer(call Call, wait, now time.Duration) Limiter {
	if wait > limiter.allowedWait(call, now) {
		limiter = limiter.withWait(true, now)
	}
	limiter.waiting = max(0, limiter.waiting-1)
	return limiter
}

// withWait returns the limiter after a call waited, too long or not.
func (limiter Limiter) withWait(late bool, now time.Duration) Limiter {
	limiter.lateShare *= 1 - lateWeight
	if late {
		limiter.lateShare += lateWeight
	}
	if limiter.lateShare >= minLateShare {
		limiter.overloadedUntil = now + overloadTime
	}
	return limiter
}

// ExpectedWait returns the time that a call would wait that is sent now.
func (limiter Limiter) ExpectedWait(now time.Duration) time.Duration {
	rate := limiter.rate(limiter.slow, slowWindow, now)
	if decayed(limiter.fast, now-limiter.updatedAt, fastWindow) >= minFastAnswers {
		rate = max(rate, limiter.rate(limiter.fast, fastWindow, now))
	}
	if rate <= 0 {
		return maxExpectedWait
	}
	return time.Duration(min(float64(limiter.waiting)/rate, maxExpectedWait.Seconds()) * float64(time.Second))
}

// RetryAfter returns the time after which a rejected caller may retry: about when the calls that wait too long have been
// answered. Draw, a random number in [0, 1), spreads the callers, so that they do not come back together.
func (limiter Limiter) RetryAfter(call Call, draw float64, now time.Duration) time.Duration {
	excess := limiter.ExpectedWait(now) - limiter.allowedWait(call, now)
	return time.Duration((0.5 + draw) * float64(max(minRetryAfter, min(excess, maxRetryAfter))))
}

// allowedWait returns the time that a call may be expected to wait.
func (limiter Limiter) allowedWait(call Call, now time.Duration) time.Duration {
	byTimeLeft := time.Duration(timeLeftShare * float64(call.TimeLeft))
	if call.Target <= 0 {
		return byTimeLeft
	}
	return min(max(targetFactor*call.Target, baseFactor*limiter.shortestWait(now)), byTimeLeft)
}

// shortestWait returns the shortest usual wait as of now.
func (limiter Limiter) shortestWait(now time.Duration) time.Duration {
	return time.Duration(float64(limiter.base) * math.Exp2((now-limiter.updatedAt).Seconds()/baseDoubling.Seconds()))
}

// rate returns the answers per second by a count that decays with a time constant.
func (limiter Limiter) rate(count float64, window, now time.Duration) float64 {
	// Right after the first answer, the count has not had the time to reach that of a full window.
	covered := 1 - math.Exp(-max(now-limiter.firstAt, time.Millisecond).Seconds()/window.Seconds())
	return decayed(count, now-limiter.updatedAt, window) / (window.Seconds() * covered)
}

// decayed returns what is left of a count after a time.
func decayed(count float64, elapsed, window time.Duration) float64 {
	return count * decay.ByConstant(elapsed, window)
}
