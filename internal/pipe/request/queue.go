package request

import (
	"context"
	"fmt"
	"maps"
	"sync/atomic"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/account"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// StepQueue names the queue in decisions and errors.
const StepQueue = "queue"

const (
	// defaultQueueLength bounds the waiting requests of an account that states no bound.
	defaultQueueLength = 256
	// recheckInterval is how often a waiting request looks whether the fleet has grown;
	// slots that come free are handed over at once and do not wait for it.
	recheckInterval = time.Second
	// leastRetry is the least time that a refused caller is told to wait.
	leastRetry = 100 * time.Millisecond
)

// ShareSource tells which part of the fleet this entry may use.
type ShareSource interface {
	// Share returns the number of entries and this entry's place among them, as far as it knows.
	Share() account.Partition
}

// FixedShare is a share that does not change.
type FixedShare account.Partition

// Share returns the fixed share.
func (share FixedShare) Share() account.Partition { return account.Partition(share) }

// Queues holds the requests that wait at this entry, one queue for each set of backend servers.
type Queues struct {
	views     ViewSource
	entries   ShareSource
	estimator *rcu.Cell[account.Estimator]
	// queues is keyed by the selector, since services with the same selector share their servers.
	queues *rcu.Cell[map[string]*rcu.Cell[account.Queue]]
	// held counts this entry's long work by backend server.
	held *rcu.Cell[map[string]int]
	ids  atomic.Uint64
}

// NewQueues returns empty queues; the estimator learns from the answers that pass.
func NewQueues(views ViewSource, entries ShareSource, estimator *rcu.Cell[account.Estimator]) *Queues {
	return &Queues{
		views:     views,
		entries:   entries,
		estimator: estimator,
		queues:    rcu.New(map[string]*rcu.Cell[account.Queue]{}),
		held:      rcu.New(map[string]int{}),
	}
}

// Wait holds a request until it is granted a slot, and gives the slot back after the answer.
func (queues *Queues) Wait() Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, exchange Exchange) (Exchange, error) {
			work := queues.work(exchange)
			grant, err := work.wait(ctx)
			waited := time.Since(work.arrived)
			exchange = exchange.WithQueueWait(waited)
			if err != nil {
				return exchange.WithDecision(work.decision("Refused", waited)), err
			}
			request := exchange.Request.WithEstimate(work.forecast.Estimate).WithPriority(grant.Priority)
			exchange = exchange.WithRequest(request).WithDecision(work.decision(string(work.forecast.Class), waited))
			return work.run(ctx, exchange, next)
		})
	}
}

// work is one request on its way through a queue.
type work struct {
	queues   *Queues
	cell     *rcu.Cell[account.Queue]
	service  string
	request  call.Request
	forecast account.Forecast
	ticket   account.Ticket
	bound    int // of the account's waiting requests
	arrived  time.Time
	latest   time.Time // at which running still ends before the deadline
	granted  chan account.Grant
}

func (queues *Queues) work(exchange Exchange) *work {
	forecast := queues.estimator.Load().Forecast(exchange.Request)
	work := &work{
		queues:   queues,
		cell:     queues.queue(exchange.Service.Selector),
		service:  exchange.Service.Name,
		request:  exchange.Request,
		forecast: forecast,
		bound:    exchange.Account.QueueLength,
		arrived:  time.Now(),
		latest:   exchange.Request.Deadline.Add(-forecast.RunTime),
		granted:  make(chan account.Grant, 1),
	}
	if work.bound == 0 {
		work.bound = defaultQueueLength
	}
	work.ticket = account.Ticket{
		ID:      queues.ids.Add(1),
		Account: exchange.Account.Name,
		Weight:  exchange.Account.Weight,
		Class:   forecast.Class,
		Cost:    forecast.Tokens,
		Handle:  work.granted,
	}
	return work
}

// wait returns the grant, or a refusal when there will be none in time.
func (work *work) wait(ctx context.Context) (account.Grant, error) {
	if refusal := work.enter(); refusal != nil {
		return account.Grant{}, refusal
	}
	late := time.NewTimer(time.Until(work.latest))
	defer late.Stop()
	recheck := time.NewTicker(recheckInterval)
	defer recheck.Stop()
	for {
		select {
		case grant := <-work.granted:
			return grant, nil
		case <-recheck.C:
			work.change(func(queue account.Queue, _ time.Time) account.Queue { return queue })
		case <-late.C:
			if !work.leave() {
				return <-work.granted, nil
			}
			return account.Grant{}, work.refusal(call.ReasonDeadline, "no slot came free in time")
		case <-ctx.Done():
			if !work.leave() {
				<-work.granted
				work.release(account.Outcome{Class: work.ticket.Class, Charged: work.ticket.Cost})
			}
			return account.Grant{}, work.refusal(call.ReasonDeadline, "the caller left: "+context.Cause(ctx).Error())
		}
	}
}

// enter puts the work in the queue unless it cannot be served in time.
func (work *work) enter() *call.Refusal {
	var refusal *call.Refusal
	work.change(func(queue account.Queue, now time.Time) account.Queue {
		refusal = nil
		expected := queue.ExpectedWait(work.ticket.Account)
		switch {
		case queue.WaitingOf(work.ticket.Account) >= work.bound:
			refusal = call.Refuse(call.ReasonQueueFull, "%d requests of account %s wait", work.bound, work.ticket.Account).
				WithRetryAfter(max(leastRetry, expected/time.Duration(work.bound)))
			return queue
		case now.Add(expected).After(work.latest):
			refusal = call.Refuse(call.ReasonDeadline, "expected to wait %v and to run %v, past the deadline", expected, work.forecast.RunTime).
				WithRetryAfter(max(leastRetry, now.Add(expected).Sub(work.latest)))
			return queue
		}
		return queue.WithTicket(work.ticket, now)
	})
	return refusal
}

// leave takes the work out of the queue, and returns false when it has been granted a slot.
func (work *work) leave() bool {
	removed := false
	work.change(func(queue account.Queue, now time.Time) account.Queue {
		var next account.Queue
		next, removed = queue.Without(work.ticket, now)
		return next
	})
	return removed
}

func (work *work) release(end account.Outcome) {
	work.change(func(queue account.Queue, now time.Time) account.Queue {
		return queue.WithEnd(work.ticket, end, now)
	})
}

// change replaces the queue and hands out the slots that there is room for.
func (work *work) change(event func(account.Queue, time.Time) account.Queue) {
	slots := 0
	for _, server := range work.queues.views.View().Fleet.Candidates(work.service) {
		slots += server.Slots
	}
	share := work.queues.entries.Share()
	now := time.Now()
	_, grants := rcu.Apply(work.cell, func(queue account.Queue) (account.Queue, []account.Grant) {
		queue = event(queue, now)
		capacity := account.NewCapacity(slots, share, queue.MeanShortSlots()*float64(share.Entries))
		return queue.WithGrants(capacity, now)
	})
	for _, grant := range grants {
		grant.Ticket.Handle.(chan account.Grant) <- grant
	}
}

// run passes the granted work on, demotes it when it turns out long, and learns from its answer.
func (work *work) run(ctx context.Context, exchange Exchange, next Handler) (Exchange, error) {
	started := time.Now()
	meter := &meter{}
	passed := func() {}
	if work.ticket.Class == call.ClassShort {
		passed = work.demote
	}
	if exchange.Sink != nil {
		exchange = exchange.WithSink(meter.sink(exchange.Sink, work.forecast.Boundary, passed))
	}
	exchange, err := next.Handle(ctx, exchange)
	took := time.Since(started)
	end := account.Outcome{Class: work.ticket.Class, Charged: work.ticket.Cost, Tokens: max(1, int(meter.tokens.Load()))}
	if end.Class == call.ClassShort && meter.passed.Load() {
		end.Class, end.Charged = call.ClassLong, max(end.Charged, work.forecast.Boundary)
		exchange = exchange.WithDecision(work.decision("Demoted", took))
	}
	if err == nil {
		end.RunTime = took
		work.queues.estimator.Update(func(estimator account.Estimator) account.Estimator {
			return estimator.WithAnswer(work.request, end.Tokens, took)
		})
	}
	work.release(end)
	return exchange, err
}

// demote counts running short work as long and charges its account.
func (work *work) demote() {
	work.change(func(queue account.Queue, now time.Time) account.Queue {
		return queue.WithDemotion(work.ticket, work.forecast.Boundary, now)
	})
}

func (work *work) refusal(reason call.Reason, detail string) *call.Refusal {
	wait := work.cell.Load().ExpectedWait(work.ticket.Account)
	return call.Refuse(reason, "%s", detail).WithRetryAfter(max(leastRetry, wait))
}

func (work *work) decision(reason string, after time.Duration) Decision {
	return Decision{
		At:     time.Now(),
		Step:   StepQueue,
		Reason: reason,
		Detail: fmt.Sprintf("class %s, %d tokens expected, after %v", work.forecast.Class, work.forecast.Tokens, after),
	}
}

func (queues *Queues) queue(selector string) *rcu.Cell[account.Queue] {
	if queue, ok := queues.queues.Load()[selector]; ok {
		return queue
	}
	return queues.queues.Update(func(current map[string]*rcu.Cell[account.Queue]) map[string]*rcu.Cell[account.Queue] {
		if _, ok := current[selector]; ok {
			return current
		}
		next := maps.Clone(current)
		next[selector] = rcu.New(account.Queue{})
		return next
	})[selector]
}
