package cli

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/integrii/flaggy"
)

// versionCommand prints the version of the module.
type versionCommand struct{}

func (*versionCommand) declare(*flaggy.Subcommand) {}

func (*versionCommand) run(_ context.Context, streams Streams) error {
	_, err := fmt.Fprintln(streams.Output, version())
	return err
}

// version returns the version of the main module, or "unknown" if the build does not record it.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "unknown"
	}
	return info.Main.Version
}
