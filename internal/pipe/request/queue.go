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

// StepQueue is the step of [Queues.WaitForSlot] in decisions and errors.
const StepQueue = "queue"

const (
	// defaultQueueLength bounds the waiting requests of an account without a configured bound.
	defaultQueueLength = 256
	// recheckInterval is how often a waiting request checks whether servers were added.
	// Slots that become free are granted at once, independently of this interval.
	recheckInterval = time.Second
	// minRetryAfter is the shortest time after which a refused caller is asked to retry.
	minRetryAfter = 100 * time.Millisecond
)

// PartitionSource returns the part of the fleet that this entry may use.
type PartitionSource interface {
	// Partition returns the number of entries and this entry's index among them, according
	// to this entry's current membership view.
	Partition() account.Partition
}

// FixedPartition is a [PartitionSource] whose partition does not change.
type FixedPartition account.Partition

// Partition returns the fixed partition.
func (fixedPartition FixedPartition) Partition() account.Partition {
	return account.Partition(fixedPartition)
}

// Queues holds the requests that wait at this entry, in one queue for each set of
// backend servers.
type Queues struct {
	views      ViewSource
	partitions PartitionSource
	estimator  *rcu.Cell[account.Estimator]
	// queues is keyed by the selector, because services with the same selector share their servers.
	queues *rcu.Cell[map[string]*rcu.Cell[account.Queue]]
	// longWork counts this entry's long requests in progress by backend server.
	longWork     *rcu.Cell[map[string]int]
	lastTicketID atomic.Uint64
}

// NewQueues returns empty queues, which update the estimator with each answer.
func NewQueues(views ViewSource, partitions PartitionSource, estimator *rcu.Cell[account.Estimator]) *Queues {
	return &Queues{
		views:      views,
		partitions: partitions,
		estimator:  estimator,
		queues:     rcu.New(map[string]*rcu.Cell[account.Queue]{}),
		longWork:   rcu.New(map[string]int{}),
	}
}

// WaitForSlot delays a request until it is granted a slot, and releases the slot after the
// answer.
//
// It refuses requests beyond the account's queue length with [call.ReasonQueueFull], and
// requests that cannot end before their deadline with [call.ReasonDeadline].
func (queues *Queues) WaitForSlot() Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, exchange Exchange) (Exchange, error) {
			job := queues.newJob(exchange)
			grant, err := job.wait(ctx)
			waited := time.Since(job.arrived)
			exchange = exchange.WithQueueWait(waited)
			if err != nil {
				return exchange.WithDecision(job.decision("Refused", waited)), err
			}
			request := exchange.Request.WithEstimate(job.forecast.Estimate).WithPriority(grant.Priority)
			exchange = exchange.WithRequest(request).WithDecision(job.decision(string(job.forecast.Class), waited))
			return job.run(ctx, exchange, next)
		})
	}
}

// job is one request that waits in a queue or runs on a granted slot.
type job struct {
	queues      *Queues
	cell        *rcu.Cell[account.Queue]
	service     string
	request     call.Request
	forecast    account.Forecast
	ticket      account.Ticket
	maxWaiting  int // largest number of waiting requests of the account
	arrived     time.Time
	latestStart time.Time // latest start at which the request is expected to end before its deadline
	granted     chan account.Grant
}

// newJob returns the job of a request that is not queued yet.
func (queues *Queues) newJob(exchange Exchange) *job {
	forecast := queues.estimator.Load().Forecast(exchange.Request)
	job := &job{
		queues:      queues,
		cell:        queues.queue(exchange.Service.Selector),
		service:     exchange.Service.Name,
		request:     exchange.Request,
		forecast:    forecast,
		maxWaiting:  exchange.Account.QueueLength,
		arrived:     time.Now(),
		latestStart: exchange.Request.Deadline.Add(-forecast.RunTime),
		granted:     make(chan account.Grant, 1),
	}
	if job.maxWaiting == 0 {
		job.maxWaiting = defaultQueueLength
	}
	job.ticket = account.Ticket{
		ID:      queues.lastTicketID.Add(1),
		Account: exchange.Account.Name,
		Weight:  exchange.Account.Weight,
		Class:   forecast.Class,
		Cost:    forecast.Tokens,
		Handle:  job.granted,
	}
	return job
}

// wait queues the job and returns its grant, or a refusal when the job is granted no slot
// in time or the caller disconnects.
func (job *job) wait(ctx context.Context) (account.Grant, error) {
	if refusal := job.enqueue(); refusal != nil {
		return account.Grant{}, refusal
	}
	tooLate := time.NewTimer(time.Until(job.latestStart))
	defer tooLate.Stop()
	recheck := time.NewTicker(recheckInterval)
	defer recheck.Stop()
	for {
		select {
		case grant := <-job.granted:
			return grant, nil
		case <-recheck.C:
			job.update(func(queue account.Queue, _ time.Time) account.Queue { return queue })
		case <-tooLate.C:
			if !job.dequeue() {
				return <-job.granted, nil
			}
			return account.Grant{}, job.refusal(call.ReasonDeadline, "no slot became free in time for the request to end before its deadline")
		case <-ctx.Done():
			if !job.dequeue() {
				<-job.granted
				job.release(account.Outcome{Class: job.ticket.Class, Charged: job.ticket.Cost})
			}
			return account.Grant{}, job.refusal(call.ReasonDeadline, "the request ended while it waited for a slot: "+context.Cause(ctx).Error())
		}
	}
}

// enqueue adds the job to the queue, or returns a refusal when the account's queue is
// full or the job is expected to end after its deadline.
func (job *job) enqueue() *call.Refusal {
	var refusal *call.Refusal
	job.update(func(queue account.Queue, now time.Time) account.Queue {
		refusal = nil
		expected := queue.ExpectedWait(job.ticket.Account)
		switch {
		case queue.WaitingOf(job.ticket.Account) >= job.maxWaiting:
			// A place becomes free as often as one of the account's waiting requests gets a slot.
			refusal = call.Refuse(call.ReasonQueueFull, "all %d queue places of client account %s are taken", job.maxWaiting, job.ticket.Account).
				WithRetryAfter(max(minRetryAfter, expected/time.Duration(job.maxWaiting)))
			return queue
		case now.Add(expected).After(job.latestStart):
			refusal = call.Refuse(call.ReasonDeadline, "the request would end after its deadline: expected wait %v, expected run time %v", expected, job.forecast.RunTime).
				WithRetryAfter(max(minRetryAfter, now.Add(expected).Sub(job.latestStart)))
			return queue
		}
		return queue.WithTicket(job.ticket, now)
	})
	return refusal
}

// dequeue removes the job from the queue. It returns false when the job was already
// granted a slot.
func (job *job) dequeue() bool {
	removed := false
	job.update(func(queue account.Queue, now time.Time) account.Queue {
		var next account.Queue
		next, removed = queue.WithoutTicket(job.ticket, now)
		return next
	})
	return removed
}

// release returns the job's slot to the queue.
func (job *job) release(outcome account.Outcome) {
	job.update(func(queue account.Queue, now time.Time) account.Queue {
		return queue.WithEnd(job.ticket, outcome, now)
	})
}

// update applies a change to the queue, grants the slots that are free afterwards, and
// sends each grant to its job.
func (job *job) update(change func(account.Queue, time.Time) account.Queue) {
	slots := 0
	for _, server := range job.queues.views.View().Fleet.Candidates(job.service) {
		slots += server.Slots
	}
	partition := job.queues.partitions.Partition()
	now := time.Now()
	_, grants := rcu.Apply(job.cell, func(queue account.Queue) (account.Queue, []account.Grant) {
		queue = change(queue, now)
		capacity := account.NewCapacity(slots, partition, queue.MeanShortSlots()*float64(partition.Entries))
		return queue.WithGrants(capacity, now)
	})
	for _, grant := range grants {
		grant.Ticket.Handle.(chan account.Grant) <- grant
	}
}

// run passes a granted request on, demotes it from short to long work when its answer
// proves to be long, updates the estimator with the answer, and releases the slot.
func (job *job) run(ctx context.Context, exchange Exchange, next Handler) (Exchange, error) {
	started := time.Now()
	meter := &meter{}
	onExceeded := func() {}
	if job.ticket.Class == call.ClassShort {
		onExceeded = job.demote
	}
	if exchange.Sink != nil {
		exchange = exchange.WithSink(meter.sink(exchange.Sink, job.forecast.Boundary, onExceeded))
	}
	exchange, err := next.Handle(ctx, exchange)
	took := time.Since(started)
	outcome := account.Outcome{Class: job.ticket.Class, Charged: job.ticket.Cost, Tokens: max(1, int(meter.tokens.Load()))}
	if outcome.Class == call.ClassShort && meter.exceeded.Load() {
		outcome.Class, outcome.Charged = call.ClassLong, max(outcome.Charged, job.forecast.Boundary)
		exchange = exchange.WithDecision(job.decision("Demoted", took))
	}
	if err == nil {
		outcome.RunTime = took
		job.queues.estimator.Update(func(estimator account.Estimator) account.Estimator {
			return estimator.WithAnswer(job.request, outcome.Tokens, took)
		})
	}
	job.release(outcome)
	return exchange, err
}

// demote reclassifies a running short job as long and charges its account accordingly.
func (job *job) demote() {
	job.update(func(queue account.Queue, now time.Time) account.Queue {
		return queue.WithDemotion(job.ticket, job.forecast.Boundary, now)
	})
}

func (job *job) refusal(reason call.Reason, detail string) *call.Refusal {
	wait := job.cell.Load().ExpectedWait(job.ticket.Account)
	return call.Refuse(reason, "%s", detail).WithRetryAfter(max(minRetryAfter, wait))
}

// decision returns a decision about the job, which has waited or run for the duration after.
func (job *job) decision(reason string, after time.Duration) Decision {
	return Decision{
		At:     time.Now(),
		Step:   StepQueue,
		Reason: reason,
		Detail: fmt.Sprintf("class %s, %d tokens expected, after %v", job.forecast.Class, job.forecast.Tokens, after),
	}
}

// queue returns the queue of a selector, after creating it for a new one.
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
