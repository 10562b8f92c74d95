package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rosemaryspar/rosemaryspar/internal/command/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := cli.Main(ctx, os.Args[1:], cli.Streams{Output: os.Stdout, Errors: os.Stderr})
	stop()
	os.Exit(code)
}
