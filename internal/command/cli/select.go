package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/integrii/flaggy"
)

// selectCommand lists the documents whose labels a selector matches.
type selectCommand struct {
	connection
	selector string
}

func (selectCommand *selectCommand) declare(subcommand *flaggy.Subcommand) {
	selectCommand.connection.declare(subcommand)
	subcommand.AddPositionalValue(&selectCommand.selector, "SELECTOR", 1, false, "Kubernetes label selector")
}

func (selectCommand *selectCommand) run(ctx context.Context, streams Streams) error {
	client, err := selectCommand.client(streams)
	if err != nil {
		return err
	}
	if selectCommand.selector == "" {
		return usageErrorf("SELECTOR: missing, must be a Kubernetes label selector")
	}
	selection, err := client.Select(ctx, selectCommand.selector)
	if err != nil {
		return err
	}
	return selectCommand.print(streams, selection, func(rows io.Writer) {
		fmt.Fprintln(rows, "KIND\tNAME")
		for _, reference := range selection.Selected {
			fmt.Fprintf(rows, "%s\t%s\n", reference.Kind, reference.Name)
		}
		printState(rows, selection.State)
	})
}
