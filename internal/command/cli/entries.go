package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/integrii/flaggy"
)

// entriesCommand lists the live entries with the configuration revision in force at each.
type entriesCommand struct {
	connection
}

func (entriesCommand *entriesCommand) declare(subcommand *flaggy.Subcommand) {
	entriesCommand.connection.declare(subcommand)
}

func (entriesCommand *entriesCommand) run(ctx context.Context, streams Streams) error {
	client, err := entriesCommand.client(streams)
	if err != nil {
		return err
	}
	list, err := client.Entries(ctx)
	if err != nil {
		return err
	}
	return entriesCommand.print(streams, list, func(rows io.Writer) {
		fmt.Fprintln(rows, "NAME\tREVISION\tAGE (ms)")
		for _, entry := range list.Entries {
			fmt.Fprintf(rows, "%s\t%d\t%d\n", entry.Name, entry.Revision, entry.AgeMs)
		}
		printState(rows, list.State)
	})
}
