package duties

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemaryspar/rosemaryspar/internal/core/pause"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/duty"
)

// actInterval is the time between looks at what is to be done.
const actInterval = 250 * time.Millisecond

// Task is one of the things that a holder does.
type Task interface {
	// Act does what is due; an error is tried again at the next look.
	Act(ctx context.Context, fence int64) error
}

// Work does the parts in turn while the duty is held.
type Work struct {
	tasks  []Task
	logger zerolog.Logger
}

// NewWork returns the work of those parts.
func NewWork(logger zerolog.Logger, parts ...Task) Work { return Work{tasks: parts, logger: logger} }

// Run acts until the context ends or a higher fencing number was seen.
func (work Work) Run(ctx context.Context, holding *duty.Leadership) error {
	work.logger.Info().Int64("Fence", holding.Number()).Msg("duty begins")
	defer work.logger.Info().Int64("Fence", holding.Number()).Msg("duty ends")
	for {
		for _, part := range work.tasks {
			if !holding.Held() {
				return duty.ErrLost
			}
			err := part.Act(ctx, holding.Number())
			if errors.Is(err, ErrConflict) {
				return err
			}
			if err != nil && ctx.Err() == nil {
				work.logger.Warn().Err(err).Int64("Fence", holding.Number()).Msg("duty not done")
			}
		}
		if pause.For(ctx, actInterval) != nil {
			return nil
		}
	}
}
