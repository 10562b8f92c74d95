package cli

import (
	"context"
	"os"

	"github.com/integrii/flaggy"
	"github.com/rs/zerolog/diode"

	"github.com/rosemaryspar/rosemaryspar/internal/process/node"
	"github.com/rosemaryspar/rosemaryspar/internal/process/telemetry"
	"github.com/rosemaryspar/rosemaryspar/platform"
)

// logLines is how many lines wait for a slow reader of the log before the oldest are dropped.
const logLines = 4096

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
	defer output.Close()
	store := platform.NewStore(settings.StoreAddress)
	entry, err := node.New(settings, node.Platform{
		Codec:     platform.HeaderCodec{},
		Directory: platform.NewDirectory(store),
		Decoder:   platform.Decoder{},
		Store:     store,
		Cloud:     platform.NewCloud(settings.CloudAddress, settings.Name),
		ReadyPath: platform.ReadyPath,
	}, telemetry.NewLogger(output, settings.Name, level))
	if err != nil {
		return err
	}
	return entry.Run(ctx)
}
