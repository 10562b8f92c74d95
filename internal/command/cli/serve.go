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
	entry, err := serve.New(settings, telemetry.NewLogger(streams.Errors, settings.Name, settings.LogLevel))
	if err != nil {
		return err
	}
	return entry.Run(ctx)
}
