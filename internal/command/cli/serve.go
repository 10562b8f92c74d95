package cli

import (
	"context"
	"os"

	"github.com/integrii/flaggy"

	"github.com/rosemaryspar/rosemaryspar/internal/process/serve"
	"github.com/rosemaryspar/rosemaryspar/internal/process/settings"
	"github.com/rosemaryspar/rosemaryspar/internal/process/telemetry"
)

// serveCommand runs an entry process until a signal stops it.
type serveCommand struct {
	reader *settings.Reader
}

func (serveCommand *serveCommand) declare(subcommand *flaggy.Subcommand) {
	serveCommand.reader = settings.NewReader(subcommand)
}

func (serveCommand *serveCommand) run(ctx context.Context, streams Streams) error {
	settings, err := serveCommand.reader.Read(os.LookupEnv)
	if err != nil {
		return &usageError{err}
	}
	log := telemetry.NewLogWriter(streams.Output)
	defer func() { _ = log.Close() }() // Nothing is left to report a lost line to.
	entry, err := serve.New(settings, telemetry.NewLogger(log, settings.Name, settings.LogLevel))
	if err != nil {
		return err
	}
	return entry.Run(ctx)
}
