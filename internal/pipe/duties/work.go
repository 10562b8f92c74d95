package duties

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemaryspar/rosemaryspar/internal/core/pause"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/duty"
)

// actInterval is the pause after each run of all tasks.
const actInterval = 250 * time.Millisecond

// Leadership is the right of this entry to act.
type Leadership interface {
	// FencingNumber returns the number that each call as the leader carries.
	FencingNumber() int64
	// Held reports whether this entry may act now. A process may be paused before any call, and its lease lapse
	// meanwhile, so this is checked right before each one.
	Held() bool
}

// Task is one of the recurring tasks of the leader.
type Task interface {
	// Act does what is due now. It makes no call once the leadership is not held, and then returns [duty.ErrLeaseLost].
	// After any other error it is called again 250 ms later, except that [ErrConflict] ends the leadership.
	Act(ctx context.Context, leadership Leadership) error
}

// TaskRunner is the [duty.Work] that runs the tasks in turn while this entry is the leader.
type TaskRunner struct {
	tasks  []Task
	logger zerolog.Logger
}

// NewTaskRunner returns a runner of the given tasks.
func NewTaskRunner(logger zerolog.Logger, tasks ...Task) TaskRunner {
	return TaskRunner{tasks: tasks, logger: logger}
}

// Run runs the tasks until ctx ends. It returns [duty.ErrLeaseLost] if the lease ended before, and [ErrConflict] if
// a task returned it.
func (taskRunner TaskRunner) Run(ctx context.Context, leadership *duty.Leadership) error {
	taskRunner.logger.Info().Int64("Fence", leadership.FencingNumber()).Msg("started leading the duty")
	defer taskRunner.logger.Info().Int64("Fence", leadership.FencingNumber()).Msg("stopped leading the duty")
	for {
		for _, task := range taskRunner.tasks {
			err := task.Act(ctx, leadership)
			if errors.Is(err, ErrConflict) || errors.Is(err, duty.ErrLeaseLost) {
				return err
			}
			if err != nil && ctx.Err() == nil {
				taskRunner.logger.Warn().Err(err).Int64("Fence", leadership.FencingNumber()).Msg("task of the duty failed; retrying in 250 ms")
			}
		}
		if pause.For(ctx, actInterval) != nil {
			return nil
		}
	}
}
