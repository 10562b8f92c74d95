package cli

import (
	"context"
	"os"

	"github.com/integrii/flaggy"
	"github.com/rs/zerolog"

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
	hangups := notifyHangups()
	settings, err := serveCommand.reader.Read(os.LookupEnv)
	if err != nil {
		return &usageError{err}
	}
	log := telemetry.NewLogWriter(streams.Output)
	defer func() { _ = log.Close() }() // Nothing is left to report a lost line to.
	logger := telemetry.NewLogger(log, settings.Name, settings.LogLevel)
	entry, err := serve.New(settings, logger)
	if err != nil {
		return err
	}
	return runBeside(ctx, entry.Run, func(running context.Context) error { return logHangups(running, hangups, logger) })
}

// logHangups logs each SIGHUP until ctx ends.
func logHangups(ctx context.Context, hangups <-chan os.Signal, logger zerolog.Logger) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hangups:
			logger.Warn().Msg("SIGHUP has no effect: the settings are flags and environment variables, which only a restart changes")
		}
	}
}
