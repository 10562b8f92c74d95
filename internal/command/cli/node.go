package cli

import (
	"context"
	"net"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rs/zerolog"

	"github.com/rosemaryspar/rosemaryspar/internal/process/node"
	"github.com/rosemaryspar/rosemaryspar/internal/process/telemetry"
	"github.com/rosemaryspar/rosemaryspar/platform"
)

// settingsPollInterval is the time between checks whether the settings file has changed without a signal.
const settingsPollInterval = 5 * time.Second

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
	path := nodeCommand.path
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	level := nodeCommand.level
	if level == "" {
		level = "info"
	}
	settings, err := nodeCommand.loadSettings(path)
	if err != nil {
		return &usageError{err}
	}
	log := telemetry.NewLogWriter(streams.Output)
	defer func() { _ = log.Close() }() // Nothing is left to report a lost line to.
	logger := telemetry.NewLogger(log, settings.Name, level)
	store := platform.NewStore(settings.StoreAddress)
	entry, err := node.New(settings, node.Platform{
		Codec:      platform.HeaderCodec{},
		Directory:  platform.NewDirectory(store),
		StoreCodec: platform.Codec{},
		Store:      store,
		Cloud:      platform.NewCloud(settings.CloudAddress, settings.Name),
		ReadyPath:  platform.ReadyPath,
	}, logger, log)
	if err != nil {
		return err
	}
	go nodeCommand.watchSettings(ctx, path, entry, logger)
	return entry.Run(ctx)
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

// watchSettings reloads the settings file on SIGHUP and when its modification time changes, until ctx ends.
//
// A file that cannot be loaded is logged and leaves the settings unchanged.
func (nodeCommand *nodeCommand) watchSettings(ctx context.Context, path string, entry *node.Node, logger zerolog.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastModified := modificationTime(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
			if modificationTime(path).Equal(lastModified) {
				continue
			}
		}
		lastModified = modificationTime(path)
		settings, err := nodeCommand.loadSettings(path)
		if err != nil {
			logger.Error().Err(err).Msg("could not reload the settings; the previous settings stay in force")
			continue
		}
		entry.Reload(settings)
	}
}

// modificationTime returns the modification time of the file, or the zero time if it cannot be read.
func modificationTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
