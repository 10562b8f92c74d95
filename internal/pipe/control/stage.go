package control

import (
	"context"

	"golang.org/x/sync/errgroup"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
)

// Group runs stages that stop together: the first error stops all of them.
type Group struct {
	group *errgroup.Group
	ctx   context.Context
}

// Source is the first stage of a pipeline.
type Source[T any] interface {
	// Run sends values until ctx ends. It returns an error only for a fault that a
	// retry cannot resolve.
	Run(ctx context.Context, out chan<- T) error
}

// NewGroup returns a group whose stages stop when ctx ends.
func NewGroup(ctx context.Context) *Group {
	group, ctx := errgroup.WithContext(ctx)
	return &Group{group: group, ctx: ctx}
}

// Go runs a function as a stage, in a separate goroutine.
func (group *Group) Go(run func(ctx context.Context) error) {
	group.group.Go(func() error { return run(group.ctx) })
}

// Wait waits until all stages have stopped and returns the first error.
func (group *Group) Wait() error {
	return group.group.Wait()
}

// Read starts a source as the first stage of a pipeline.
func Read[T any](group *Group, source Source[T]) <-chan T {
	out := make(chan T)
	group.Go(func(ctx context.Context) error {
		defer close(out)
		return source.Run(ctx, out)
	})
	return out
}

// Validate passes on the result of check for each value. Values for which check returns an error
// are passed to rejected, with that error.
func Validate[T, U any](group *Group, in <-chan T, check func(T) (U, error), rejected func(T, error)) <-chan U {
	out := make(chan U)
	group.Go(func(ctx context.Context) error {
		defer close(out)
		for value := range in {
			checked, err := check(value)
			if err != nil {
				rejected(value, err)
				continue
			}
			if !send(ctx, out, checked) {
				return nil
			}
		}
		return nil
	})
	return out
}

// Merge merges values into a state and passes on the latest state.
//
// While the next stage is busy, further values are merged into the state instead of queued.
func Merge[T, S any](group *Group, in <-chan T, state S, merge func(S, T) S) <-chan S {
	out := make(chan S)
	group.Go(func(ctx context.Context) error {
		defer close(out)
		var ready chan S // nil, which blocks, while there is no new state
		for in != nil || ready != nil {
			select {
			case value, ok := <-in:
				if !ok {
					in = nil
					continue
				}
				state = merge(state, value)
				ready = out
			case ready <- state:
				ready = nil
			case <-ctx.Done():
				return nil
			}
		}
		return nil
	})
	return out
}

// Publish stores each state in a cell; it is the last stage of a pipeline.
func Publish[S any](group *Group, in <-chan S, cell *rcu.Cell[S]) {
	group.Go(func(context.Context) error {
		for state := range in {
			cell.Store(state)
		}
		return nil
	})
}

// send sends a value on out; it returns false if ctx ended first.
func send[T any](ctx context.Context, out chan<- T, value T) bool {
	select {
	case out <- value:
		return true
	case <-ctx.Done():
		return false
	}
}
