package overload_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/overload"
)

// load plays calls at entries before servers that answer them in the order in which they arrive.
type load struct {
	entries int
	// offered is the number of calls a second, and capacity the number of answers, at a time.
	offered, capacity func(at time.Duration) float64
	// service is the time from a free server to the answer.
	service time.Duration
	// target and deadline are the target latency and the time after which the caller gives up.
	target, deadline time.Duration
	unlimited        bool
}

// result counts the calls of each second by when they were made.
type result struct{ asked, onTime, rejected []int }

// waitingCall is a call in the queue of the servers.
type waitingCall struct {
	entry  int
	sentAt time.Duration
}

// run plays the load for a time in steps of a millisecond.
func (load load) run(length time.Duration) result {
	random := rand.New(rand.NewPCG(1, 2))
	limiters := make([]overload.Limiter, load.entries)
	seconds := int(length / time.Second)
	counts := result{make([]int, seconds), make([]int, seconds), make([]int, seconds)}
	var queue []waitingCall
	type answer struct {
		waitingCall
		at time.Duration
	}
	var answers []answer
	owed := 0.0
	properties := overload.Call{Target: load.target, TimeLeft: load.deadline}
	const step, origin = time.Millisecond, time.Minute
	for at := time.Duration(0); at < length; at += step {
		now := origin + at
		for mean := load.offered(at) * step.Seconds(); random.Float64() < mean; mean-- {
			entry := random.IntN(load.entries)
			next, admitted := limiters[entry].WithCall(properties, now)
			counts.asked[at/time.Second]++
			if !admitted && !load.unlimited {
				counts.rejected[at/time.Second]++
				continue
			}
			limiters[entry] = next
			queue = append(queue, waitingCall{entry, at})
		}
		owed += load.capacity(at) * step.Seconds()
		for ; owed >= 1 && len(queue) > 0; owed-- {
			call := queue[0]
			queue = queue[1:]
			answers = append(answers, answer{call, at + load.service})
		}
		owed = min(owed, 1)
		for len(queue) > 0 && at-queue[0].sentAt > load.deadline {
			limiters[queue[0].entry] = limiters[queue[0].entry].WithoutAnswer(properties, at-queue[0].sentAt, now)
			queue = queue[1:]
		}
		for len(answers) > 0 && answers[0].at <= at {
			call := answers[0]
			answers = answers[1:]
			limiters[call.entry] = limiters[call.entry].WithAnswer(properties, at-call.sentAt, now)
			if at-call.sentAt <= load.target {
				counts.onTime[call.sentAt/time.Second]++
			}
		}
	}
	return counts
}

func sum(counts []int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}

// constant returns a rate that does not change.
func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// Guards against calls that all wait until their callers give up after most servers have gone: the calls that the remaining
// servers can answer in time are sent, and the others are rejected at once.
func TestLossOfMostServers(t *testing.T) {
	for _, entries := range []int{1, 7, 12} {
		lost := load{
			entries: entries, offered: constant(210), service: 50 * time.Millisecond, target: 2 * time.Second, deadline: 3 * time.Second,
			capacity: func(at time.Duration) float64 {
				if at >= 5*time.Second && at < 13*time.Second {
					return 50
				}
				return 500
			},
		}
		limited := lost.run(20 * time.Second)
		lost.unlimited = true
		unlimited := lost.run(20 * time.Second)
		t.Logf("%d entries: answers in time by second %v, rejected %v; without a limit %v", entries, limited.onTime, limited.rejected, unlimited.onTime)
		// Once the queue of the first second has been answered, the remaining servers answer most of what they can in time.
		assert.Greater(t, sum(limited.onTime[8:13]), 5*50*7/10, "%d entries: answers in time of %d", entries, 5*50)
		assert.Less(t, sum(unlimited.onTime[8:12]), 4*50*2/10, "%d entries: answers in time without a limit", entries)
		assert.Zero(t, sum(limited.rejected[:5]), "%d entries: rejected before the loss", entries)
		assert.Zero(t, sum(limited.rejected[16:]), "%d entries: rejected three seconds after the servers are back", entries)
	}
}

// Guards against rejections while the servers have room: bursts, servers that take long without a queue, and a load that
// begins at once.
func TestNothingIsRejectedWithRoom(t *testing.T) {
	cases := []struct {
		name string
		load load
	}{
		{"bursts", load{offered: func(at time.Duration) float64 {
			if at%(2*time.Second) < 300*time.Millisecond {
				return 500
			}
			return 100
		}, service: 50 * time.Millisecond, target: 500 * time.Millisecond}},
		{"servers that take longer than the target", load{offered: constant(300), service: 600 * time.Millisecond, target: 400 * time.Millisecond}},
		{"no target", load{offered: constant(300), service: 400 * time.Millisecond}},
		{"step from almost nothing", load{offered: func(at time.Duration) float64 {
			if at < 5*time.Second {
				return 2
			}
			return 500
		}, service: 300 * time.Millisecond, target: 400 * time.Millisecond}},
		{"start", load{offered: constant(400), service: 200 * time.Millisecond, target: 400 * time.Millisecond}},
	}
	for _, c := range cases {
		for _, entries := range []int{1, 8} {
			c.load.entries, c.load.capacity, c.load.deadline = entries, constant(600), 3*time.Second
			assert.Zero(t, sum(c.load.run(10*time.Second).rejected), "%s, %d entries", c.name, entries)
		}
	}
}

// Guards against calls of the lowest priority that fill the queue for those of the highest, and against calls that are rejected
// while half of the slots are free.
func TestPrioritiesAndRoomDecideWhoIsRejected(t *testing.T) {
	call := overload.Call{Target: time.Second, TimeLeft: 3 * time.Second}
	limiter, now := overload.Limiter{}, time.Minute
	for range 200 {
		limiter, _ = limiter.WithCall(call, now)
	}
	for range 20 {
		now += 50 * time.Millisecond
		limiter = limiter.WithAnswer(call, 2*time.Second, now)
	}
	low := call
	low.LowerPriority = 1
	for limiter.ExpectedWait(now) > 1200*time.Millisecond {
		limiter = limiter.WithAnswer(call, 2*time.Second, now)
	}
	_, admitted := limiter.WithCall(call, now)
	assert.True(t, admitted, "the highest priority, expected to wait %s", limiter.ExpectedWait(now))
	_, admitted = limiter.WithCall(low, now)
	assert.False(t, admitted, "the lowest priority")
	low.HasRoom = true
	_, admitted = limiter.WithCall(low, now)
	assert.True(t, admitted, "with room")
}

// Guards against rejected callers that all come back at the same time, or before there is room.
func TestCallersComeBackSpreadOut(t *testing.T) {
	call := overload.Call{Target: time.Second, TimeLeft: 3 * time.Second}
	limiter, now := overload.Limiter{}, time.Minute
	for range 100 {
		limiter, _ = limiter.WithCall(call, now)
	}
	for range 20 {
		now += 50 * time.Millisecond
		limiter = limiter.WithAnswer(call, time.Second, now)
	}
	early, late := limiter.RetryAfter(call, 0, now), limiter.RetryAfter(call, 0.999, now)
	assert.GreaterOrEqual(t, early, 100*time.Millisecond)
	assert.Greater(t, late, 2*early)
	assert.LessOrEqual(t, late, 3*time.Second)
}
