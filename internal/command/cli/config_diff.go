package cli

import (
	"context"
	"io"

	"github.com/integrii/flaggy"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/document"
)

// configDiffCommand shows the differences and findings that applying a file would give.
type configDiffCommand struct {
	connection
	file string
}

func (configDiffCommand *configDiffCommand) declare(subcommand *flaggy.Subcommand) {
	configDiffCommand.connection.declare(subcommand)
	subcommand.AddPositionalValue(&configDiffCommand.file, "FILE", 1, false, "file with documents")
}

func (configDiffCommand *configDiffCommand) run(ctx context.Context, streams Streams) error {
	client, err := configDiffCommand.client(streams)
	if err != nil {
		return err
	}
	change, _, err := readChange(configDiffCommand.file)
	if err != nil {
		return err
	}
	current, err := client.Config(ctx)
	if err != nil {
		return err
	}
	set := current.Set()
	difference := struct {
		Differences []config.Difference
		Findings    []config.Finding
	}{Differences: config.Diff(set, set.WithChange(change))}
	if change = change.WithoutUnchanged(set); !change.Empty() {
		// The entry also checks limits against the current use, which this command cannot read.
		difference.Findings = config.NewValidator(document.AddressChecker{}).Validate(set, change, config.Usage{})
	}
	return configDiffCommand.print(streams, difference, func(rows io.Writer) {
		printDifferences(rows, difference.Differences)
		printFindings(rows, difference.Findings)
		printState(rows, current.State)
	})
}
