package cli

import (
	"context"
	"os"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemaryspar/rosemaryspar/internal/process/node"
)

// settingsPollInterval is the time between checks whether the settings file has changed without a signal.
const settingsPollInterval = 5 * time.Second

// reloader takes over settings while it runs.
type reloader interface {
	Reload(settings node.Settings)
}

// settingsWatcher reloads a settings file on SIGHUP and when its modification time changes.
type settingsWatcher struct {
	path string
	load func(path string) (node.Settings, error)
	// lastModified is the modification time of the file before it was loaded last.
	lastModified time.Time
	hangups      <-chan os.Signal
	logger       zerolog.Logger
}

// run reloads the settings of target until ctx ends. A file that cannot be loaded is logged and leaves the settings unchanged.
func (settingsWatcher settingsWatcher) run(ctx context.Context, target reloader) error {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-settingsWatcher.hangups:
		case <-ticker.C:
			if modificationTime(settingsWatcher.path).Equal(settingsWatcher.lastModified) {
				continue
			}
		}
		settingsWatcher.lastModified = modificationTime(settingsWatcher.path)
		settings, err := settingsWatcher.load(settingsWatcher.path)
		if err != nil {
			settingsWatcher.logger.Error().Err(err).Msg("could not reload the settings; the previous settings stay in force")
			continue
		}
		target.Reload(settings)
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
