package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rosemaryspar/rosemaryspar/internal/pipe/control"
)

// notifyHangups returns a channel that receives SIGHUP from now on until the process has ended.
//
// A process calls it before it listens for calls, and never undoes it: without a handler, SIGHUP ends the process at once, with all
// calls in progress.
func notifyHangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// runBeside runs an entry until it has stopped, and beside it a function whose context ends only then: the end of ctx makes the
// entry finish its calls, which takes seconds in which signals still arrive.
func runBeside(ctx context.Context, runEntry, beside func(ctx context.Context) error) error {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group := control.NewGroup(running)
	group.Go(beside)
	group.Go(func(context.Context) error {
		defer stop()
		return runEntry(ctx)
	})
	return group.Wait()
}
