package runner

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// Settings describe a runner.
type Settings struct {
	Name string
	// Slots is how many requests run at once.
	Slots int
	// PromptToken and AnswerToken are the times per token.
	PromptToken time.Duration
	AnswerToken time.Duration
	// Operation is the time of one call to a plain service.
	Operation time.Duration
	// TransferToken is the time per token to copy a KV cache to another runner.
	TransferToken time.Duration
	// ChunkTokens is the number of tokens in a chunk, at least 1.
	ChunkTokens int
	// CachePrompts is how many prompts the prefix cache holds.
	CachePrompts int
	// CrashMark makes the runner crash when a prompt or body contains it; empty for never.
	CrashMark string
}

// Runner is a stand-in for one backend server.
type Runner struct {
	settings Settings
	slots    *slots
	cache    *rcu.Cell[[]string]
	imported *rcu.Cell[map[string]int]
	slowness atomic.Uint64 // in thousandths of the undisturbed time
	life     *rcu.Cell[life]
	started  atomic.Int64
	finished atomic.Int64
}

// life is one incarnation of the runner, whose end closes the channel.
type life struct {
	ended chan struct{}
	alive bool
}

// New returns a running runner.
func New(settings Settings) *Runner {
	settings.ChunkTokens = max(1, settings.ChunkTokens)
	runner := &Runner{
		settings: settings,
		slots:    newSlots(settings.Slots),
		cache:    rcu.New[[]string](nil),
		imported: rcu.New(map[string]int{}),
		life:     rcu.New(life{ended: make(chan struct{}), alive: true}),
	}
	runner.Slow(1)
	return runner
}

// Slow makes all work take factor times as long from the next token on.
func (runner *Runner) Slow(factor float64) {
	runner.slowness.Store(uint64(factor * 1000))
}

// Crash ends all work in progress with a reset and refuses connections until [Runner.Restart].
func (runner *Runner) Crash() {
	_, ended := rcu.Apply(runner.life, func(current life) (life, chan struct{}) {
		if !current.alive {
			return current, nil
		}
		return life{ended: current.ended}, current.ended
	})
	if ended != nil {
		close(ended)
	}
}

// Restart makes a crashed runner take work again, with an empty cache.
func (runner *Runner) Restart() {
	runner.cache.Store(nil)
	runner.imported.Store(map[string]int{})
	runner.life.Update(func(current life) life {
		if current.alive {
			return current
		}
		return life{ended: make(chan struct{}), alive: true}
	})
}

// Crashed is closed when the current incarnation crashes.
func (runner *Runner) Crashed() <-chan struct{} { return runner.life.Load().ended }

// Started returns the number of requests that began to run.
func (runner *Runner) Started() int64 { return runner.started.Load() }

// Finished returns the number of requests that ran to their end.
func (runner *Runner) Finished() int64 { return runner.finished.Load() }

// Waiting returns the number of requests that wait for a slot.
func (runner *Runner) Waiting() int { return runner.slots.waiting() }

// Running returns the number of requests that hold a slot.
func (runner *Runner) Running() int { return runner.slots.running() }

// enter takes a slot and returns the incarnation that the work runs in.
func (runner *Runner) enter(ctx context.Context, priority int) (life, error) {
	current := runner.life.Load()
	if !current.alive {
		return current, runner.failure(call.RanNot, call.CauseConnect, "connection refused")
	}
	if err := runner.slots.acquire(ctx, current.ended, priority); err != nil {
		return current, runner.ended(ctx, current)
	}
	runner.started.Add(1)
	return current, nil
}

// spend waits for the given undisturbed time, stretched by the slowness.
func (runner *Runner) spend(ctx context.Context, current life, duration time.Duration) error {
	duration = duration * time.Duration(runner.slowness.Load()) / 1000
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
	case <-current.ended:
		return runner.ended(ctx, current)
	case <-ctx.Done():
		return runner.ended(ctx, current)
	}
}

func (runner *Runner) ended(ctx context.Context, current life) error {
	select {
	case <-current.ended:
		return runner.failure(call.RanUnknown, call.CauseReset, "connection reset")
	default:
		return runner.failure(call.RanUnknown, call.CauseCancelled, context.Cause(ctx).Error())
	}
}

func (runner *Runner) failure(ran call.Ran, cause call.Cause, detail string) error {
	return &call.Failure{Ran: ran, Cause: cause, Step: "dispatch", Peer: runner.settings.Name, Detail: detail}
}
