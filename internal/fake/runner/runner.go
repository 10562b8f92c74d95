package runner

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// Settings describe a runner. A zero duration makes the respective work take no time.
type Settings struct {
	Name string
	// Slots is how many requests can run at once.
	Slots int
	// PromptToken is the time per uncached prompt token, AnswerToken the time per generated token.
	PromptToken time.Duration
	AnswerToken time.Duration
	// Operation is the time that one operation of a plain service takes.
	Operation time.Duration
	// TransferToken is the time per token to copy a KV cache to another runner.
	TransferToken time.Duration
	// ChunkTokens is the number of tokens in a chunk; [New] raises it to at least 1.
	ChunkTokens int
	// CachePrompts is how many prompts the cache holds; the least recently used one is evicted first.
	CachePrompts int
	// CrashMark makes the runner crash when a prompt or body contains it. An empty mark has no effect.
	CrashMark string
}

// Runner is a stand-in for one backend server. It is safe for concurrent use.
type Runner struct {
	settings         Settings
	slots            *slots
	cache            *rcu.Cell[[]string]
	imported         *rcu.Cell[map[string]int]
	slowdownPermille atomic.Uint64 // time that work takes, in thousandths of the time in settings
	incarnation      *rcu.Cell[incarnation]
	started          atomic.Int64
	finished         atomic.Int64
}

// incarnation is the time between a start of the runner and its next crash, which closes crashed.
type incarnation struct {
	crashed chan struct{}
	alive   bool
}

// New returns a runner that accepts requests.
func New(settings Settings) *Runner {
	settings.ChunkTokens = max(1, settings.ChunkTokens)
	runner := &Runner{
		settings:    settings,
		slots:       newSlots(settings.Slots),
		cache:       rcu.New[[]string](nil),
		imported:    rcu.New(map[string]int{}),
		incarnation: rcu.New(incarnation{crashed: make(chan struct{}), alive: true}),
	}
	runner.Slow(1)
	return runner
}

// Slow makes work that begins from now on, token by token, take factor times the time in the settings.
func (runner *Runner) Slow(factor float64) {
	runner.slowdownPermille.Store(uint64(factor * 1000))
}

// Crash fails all requests in progress with a connection reset, and refuses connections until [Runner.Restart].
func (runner *Runner) Crash() {
	_, crashed := rcu.Apply(runner.incarnation, func(current incarnation) (incarnation, chan struct{}) {
		if !current.alive {
			return current, nil
		}
		return incarnation{crashed: current.crashed}, current.crashed
	})
	if crashed != nil {
		close(crashed)
	}
}

// Restart makes a crashed runner accept requests again, with empty caches.
func (runner *Runner) Restart() {
	runner.cache.Store(nil)
	runner.imported.Store(map[string]int{})
	runner.incarnation.Update(func(current incarnation) incarnation {
		if current.alive {
			return current
		}
		return incarnation{crashed: make(chan struct{}), alive: true}
	})
}

// Crashed returns a channel that is closed when the current incarnation of the runner crashes.
func (runner *Runner) Crashed() <-chan struct{} { return runner.incarnation.Load().crashed }

// Started returns the number of requests that have been given a slot so far.
func (runner *Runner) Started() int64 { return runner.started.Load() }

// Finished returns the number of requests whose work has been completed so far.
func (runner *Runner) Finished() int64 { return runner.finished.Load() }

// Waiting returns the number of requests that wait for a slot.
func (runner *Runner) Waiting() int { return runner.slots.waiting() }

// Running returns the number of requests that hold a slot.
func (runner *Runner) Running() int { return runner.slots.running() }

// acquireSlot waits for a slot and returns the incarnation in which the request runs.
func (runner *Runner) acquireSlot(ctx context.Context, priority int) (incarnation, error) {
	current := runner.incarnation.Load()
	if !current.alive {
		return current, runner.failure(call.RanNo, call.CauseConnect, "connection refused")
	}
	if err := runner.slots.acquire(ctx, current.crashed, priority); err != nil {
		return current, runner.interruption(ctx, current)
	}
	runner.started.Add(1)
	return current, nil
}

// simulateWork waits for duration times the slowdown, and returns a [*call.Failure] if it is interrupted.
func (runner *Runner) simulateWork(ctx context.Context, current incarnation, duration time.Duration) error {
	duration = duration * time.Duration(runner.slowdownPermille.Load()) / 1000
	if duration <= 0 {
		// A timer that is due at once makes the runtime of Go 1.26.8 fail with SIGSEGV
		// in runtime.(*timer).maybeRunChan, in a synctest bubble under the race detector.
		return nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-current.crashed:
		return runner.interruption(ctx, current)
	case <-ctx.Done():
		return runner.interruption(ctx, current)
	}
}

// interruption returns the failure of a request that a crash or the end of ctx has interrupted.
func (runner *Runner) interruption(ctx context.Context, current incarnation) error {
	select {
	case <-current.crashed:
		return runner.failure(call.RanUnknown, call.CauseReset, "connection reset")
	default:
		return runner.failure(call.RanUnknown, call.CauseCancelled, context.Cause(ctx).Error())
	}
}

func (runner *Runner) failure(ran call.Ran, cause call.Cause, detail string) error {
	return &call.Failure{Ran: ran, Cause: cause, Step: "dispatch", Peer: runner.settings.Name, Detail: detail}
}
