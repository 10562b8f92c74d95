package booking_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/booking"
)

// sleep waits for a duration, in virtual time inside a synctest bubble.
func sleep(duration time.Duration) { <-time.After(duration) }

// service is a plain service that counts how often each key ran.
type service struct {
	runs *rcu.Cell[map[string]int]
	// byKey makes the service run each key once and repeat its first answer.
	byKey bool
}

func newService() *service { return &service{runs: rcu.New(map[string]int{})} }

func (service *service) run(key string) call.Answer {
	next := service.runs.Update(func(current map[string]int) map[string]int {
		if service.byKey && current[key] > 0 {
			return current
		}
		counted := map[string]int{key: 1}
		for ranKey, count := range current {
			counted[ranKey] += count
		}
		return counted
	})
	return service.answer(key, next[key])
}

func (service *service) answer(key string, run int) call.Answer {
	return call.Answer{Status: 201, ContentType: "text/plain", Body: fmt.Appendf(nil, "%s run %d", key, run)}
}

// sender sends one attempt to the service, with faults of its own.
type sender struct {
	service   *service
	key       string
	random    *rand.Rand
	faultRate float64
	// crashed is set when the entry of this sender has crashed, after which nothing is sent.
	crashed *atomic.Bool
	// hasStatus makes the service support status calls.
	hasStatus bool
	// losesAnswer makes every answer get lost after the order ran.
	losesAnswer bool
	// ran is set when this attempt has run at the service.
	ran atomic.Bool
}

func (sender *sender) Send(context.Context) (call.Answer, error) {
	failure := &call.Failure{Ran: call.RanUnknown, Cause: call.CauseReset, Step: "dispatch"}
	fault := -1
	if sender.random.Float64() < sender.faultRate {
		fault = sender.random.IntN(4)
	}
	sleep(time.Duration(1+sender.random.IntN(50)) * time.Millisecond)
	switch fault {
	case 0: // refused connection
		failure.Ran = call.RanNo
		return call.Answer{}, failure
	case 1: // request lost
		return call.Answer{}, failure
	case 2: // paused before sending, possibly until another entry has taken the order over
		sleep(time.Duration(1+sender.random.IntN(60)) * time.Second)
	}
	if sender.crashed.Load() {
		return call.Answer{}, failure
	}
	sender.ran.Store(true)
	answer := sender.service.run(sender.key)
	sleep(time.Duration(1+sender.random.IntN(50)) * time.Millisecond)
	if fault == 3 || sender.losesAnswer {
		return call.Answer{}, failure
	}
	return answer, nil
}

func (sender *sender) Status(context.Context) (booking.Status, error) {
	if !sender.hasStatus {
		return booking.Status{State: booking.StatusUnsupported}, nil
	}
	if run := sender.service.runs.Load()[sender.key]; run > 0 {
		return booking.Status{State: booking.StatusDone, Answer: sender.service.answer(sender.key, 1)}, nil
	}
	return booking.Status{State: booking.StatusPending}, nil
}
