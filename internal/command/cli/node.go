package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"github.com/rosemaryspar/rosemaryspar/internal/process/node"
	"github.com/rosemaryspar/rosemaryspar/internal/process/telemetry"
	"github.com/rosemaryspar/rosemaryspar/platform"
)

// logLines is how many lines wait for a slow reader of the log before the oldest are dropped.
const logLines = 4096

// settingsInterval is the time between looks for a settings file that changed without a signal.
const settingsInterval = 5 * time.Second

// nodeCommand runs an entry process on the users' platform until a signal stops it.
type nodeCommand struct {
	path  string
	level string
}

func (nodeCommand *nodeCommand) declare(subcommand *flaggy.Subcommand) {
	subcommand.String(&nodeCommand.path, "", "settings", "path of the platform's settings file ("+platform.SettingsVariable+")")
	subcommand.String(&nodeCommand.level, "", "log-level", "least level that is logged: debug, info, warn or error (default info)")
}

func (nodeCommand *nodeCommand) run(ctx context.Context, streams Streams) error {
	path := nodeCommand.path
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	level := nodeCommand.level
	if level == "" {
		level = "info"
	}
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return &usageError{err}
	}
	// A reader of the log that falls behind must not hold up calls.
	output := diode.NewWriter(streams.Output, logLines, 0, func(int) {})
	defer func() { _ = output.Close() }() // What was not written by then is lost with the process.
	logger := telemetry.NewLogger(output, settings.Name, level)
	store := platform.NewStore(settings.StoreAddress)
	entry, err := node.New(settings, node.Platform{
		Codec:     platform.HeaderCodec{},
		Directory: platform.NewDirectory(store),
		Decoder:   platform.Decoder{},
		Store:     store,
		Cloud:     platform.NewCloud(settings.CloudAddress, settings.Name),
		ReadyPath: platform.ReadyPath,
	}, logger)
	if err != nil {
		return err
	}
	go reload(ctx, path, entry, logger)
	return entry.Run(ctx)
}

// reload takes the settings file over when it changes, with or without a signal.
//
// A file that cannot be used changes nothing.
func reload(ctx context.Context, path string, entry *node.Node, logger zerolog.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	last := modified(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
			if modified(path).Equal(last) {
				continue
			}
		}
		last = modified(path)
		settings, err := platform.LoadSettings(path)
		if err != nil {
			logger.Error().Err(err).Msg("settings not reloaded")
			continue
		}
		entry.Reload(settings)
	}
}

// modified returns when the file changed, and the zero time when it cannot be told.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
