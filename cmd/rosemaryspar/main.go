package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rosemaryspar/rosemaryspar/internal/command/cli"
	"github.com/rosemaryspar/rosemaryspar/internal/process/telemetry"
)

func main() {
	telemetry.RedirectHertz(os.Stderr)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := cli.Main(ctx, os.Args[1:], cli.Streams{Output: os.Stdout, Errors: os.Stderr})
	stop()
	os.Exit(code)
}
