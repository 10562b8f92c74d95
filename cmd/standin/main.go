package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rosemaryspar/rosemaryspar/internal/command/standin"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := standin.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
