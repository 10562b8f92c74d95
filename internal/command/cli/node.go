package cli

import (
	"context"
	"net"
	"os"
	"strconv"

	"github.com/integrii/flaggy"

	"github.com/rosemaryspar/rosemaryspar/internal/process/node"
	"github.com/rosemaryspar/rosemaryspar/internal/process/telemetry"
	"github.com/rosemaryspar/rosemaryspar/platform"
)

// nodeCommand runs an entry process with the adapters of package platform until a signal stops it.
type nodeCommand struct {
	path        string
	level       string
	metricsPort int
}

func (nodeCommand *nodeCommand) declare(subcommand *flaggy.Subcommand) {
	subcommand.String(&nodeCommand.path, "", "settings", "path of the platform's settings file ("+platform.SettingsVariable+")")
	subcommand.String(&nodeCommand.level, "", "log-level", "minimum level of log lines: debug, info, warn or error (default info)")
	subcommand.Int(&nodeCommand.metricsPort, "", "metrics-port", "further port of the entry's IP at which metrics are served, 0 for none (default 0)")
}

func (nodeCommand *nodeCommand) run(ctx context.Context, streams Streams) error {
	hangups := notifyHangups()
	path := nodeCommand.path
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	level := nodeCommand.level
	if level == "" {
		level = "info"
	}
	lastModified := modificationTime(path)
	settings, err := nodeCommand.loadSettings(path)
	if err != nil {
		return &usageError{err}
	}
	log := telemetry.NewLogWriter(streams.Output)
	defer func() { _ = log.Close() }() // Nothing is left to report a lost line to.
	logger := telemetry.NewLogger(log, settings.Name, level)
	store := platform.NewStore(settings.StoreAddress)
	directory := platform.NewDirectory(store)
	if settings.RollsOut {
		directory = platform.NewDirectoryWithRollouts(store)
	}
	entry, err := node.New(settings, node.Platform{
		Codec:        platform.HeaderCodec{},
		Directory:    directory,
		StoreCodec:   platform.Codec{},
		Store:        store,
		Cloud:        platform.NewCloud(settings.CloudAddress, settings.Name),
		Events:       platform.EventGrammar,
		ReadyPath:    platform.ReadyPath,
		RolloutCodec: platform.RolloutCodec{},
	}, logger, log)
	if err != nil {
		return err
	}
	watcher := settingsWatcher{path: path, load: nodeCommand.loadSettings, lastModified: lastModified, hangups: hangups, logger: logger}
	return runBeside(ctx, entry.Run, func(running context.Context) error { return watcher.run(running, entry) })
}

// loadSettings loads the settings file and adds what the flags say.
func (nodeCommand *nodeCommand) loadSettings(path string) (node.Settings, error) {
	settings, err := platform.LoadSettings(path)
	if err != nil || nodeCommand.metricsPort == 0 {
		return settings, err
	}
	host, _, err := net.SplitHostPort(settings.ReadyAddress)
	settings.MetricsAddress = net.JoinHostPort(host, strconv.Itoa(nodeCommand.metricsPort))
	return settings, err
}
