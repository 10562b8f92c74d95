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

// Task is one of the recurring tasks of the leader.
type Task interface {
	// Act does what is due now, as the leader with the fencing number fence. After an error it is
	// called again 250 ms later, except that [ErrConflict] ends the leadership.
	Act(ctx context.Context, fence int64) error
}

// Work runs the tasks in turn while this entry is the leader.
type Work struct {
	tasks  []Task
	logger zerolog.Logger
}

// NewWork returns the work that consists of the given tasks.
func NewWork(logger zerolog.Logger, tasks ...Task) Work { return Work{tasks: tasks, logger: logger} }

// Run runs the tasks until ctx ends. It returns [duty.ErrLost] if the lease ended before, and [ErrConflict] if
// a task returned it.
func (work Work) Run(ctx context.Context, leadership *duty.Leadership) error {
	work.logger.Info().Int64("Fence", leadership.Number()).Msg("started leading the duty")
	defer work.logger.Info().Int64("Fence", leadership.Number()).Msg("stopped leading the duty")
	for {
		for _, task := range work.tasks {
			if !leadership.Held() {
				return duty.ErrLost
			}
			err := task.Act(ctx, leadership.Number())
			if errors.Is(err, ErrConflict) {
				return err
			}
			if err != nil && ctx.Err() == nil {
				work.logger.Warn().Err(err).Int64("Fence", leadership.Number()).Msg("task of the duty failed; retrying in 250 ms")
			}
		}
		if pause.For(ctx, actInterval) != nil {
			return nil
		}
	}
}
