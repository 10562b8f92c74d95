package cli

import (
	"context"
	"io"

	"github.com/integrii/flaggy"

	"github.com/rosemaryspar/rosemaryspar/internal/process/try"
)

// tryCommand runs an entry in one process with stand-ins for the key-value service and the backend servers.
type tryCommand struct {
	options try.Options
	verbose bool
}

func (tryCommand *tryCommand) declare(subcommand *flaggy.Subcommand) {
	tryCommand.options.CallerAddress, tryCommand.options.OperatorAddress = "127.0.0.1:0", "127.0.0.1:0"
	subcommand.String(&tryCommand.options.CallerAddress, "", "caller-address", "IP:port for callers, port 0 for any free one")
	subcommand.String(&tryCommand.options.OperatorAddress, "", "operator-address", "IP:port for operators, port 0 for any free one")
	subcommand.Bool(&tryCommand.options.Once, "", "once", "send one streamed completion and one order, print the answers and exit")
	subcommand.Bool(&tryCommand.verbose, "", "verbose", "print the log lines to standard error")
}

func (tryCommand *tryCommand) run(ctx context.Context, streams Streams) error {
	tryCommand.options.Output, tryCommand.options.Log = streams.Output, io.Discard
	if tryCommand.verbose {
		tryCommand.options.Log = streams.Errors
	}
	return try.Run(ctx, tryCommand.options)
}
