package cli

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/rosemaryspar/rosemaryspar/internal/wire/operator"
)

// quarantineListCommand lists the requests that crashed backend servers.
type quarantineListCommand struct {
	connection
}

func (quarantineListCommand *quarantineListCommand) declare(subcommand *flaggy.Subcommand) {
	quarantineListCommand.connection.declare(subcommand)
}

func (quarantineListCommand *quarantineListCommand) run(ctx context.Context, streams Streams) error {
	client, err := quarantineListCommand.client(streams)
	if err != nil {
		return err
	}
	list, err := client.Quarantine(ctx)
	if err != nil {
		return err
	}
	return quarantineListCommand.print(streams, list, printQuarantine(list))
}

// quarantineReleaseCommand discards the recorded crashes of a request, so that it can run again.
type quarantineReleaseCommand struct {
	connection
	id string
}

func (quarantineReleaseCommand *quarantineReleaseCommand) declare(subcommand *flaggy.Subcommand) {
	quarantineReleaseCommand.connection.declare(subcommand)
	subcommand.AddPositionalValue(&quarantineReleaseCommand.id, "ID", 1, false, "ID of the request, as printed by quarantine list")
}

func (quarantineReleaseCommand *quarantineReleaseCommand) run(ctx context.Context, streams Streams) error {
	client, err := quarantineReleaseCommand.client(streams)
	if err != nil {
		return err
	}
	if quarantineReleaseCommand.id == "" {
		return &usageError{fmt.Errorf("ID: missing, must be an ID printed by quarantine list")}
	}
	list, err := client.Release(ctx, quarantineReleaseCommand.id)
	if err != nil {
		return err
	}
	return quarantineReleaseCommand.print(streams, list, printQuarantine(list))
}

func printQuarantine(list operator.QuarantineList) func(rows io.Writer) {
	return func(rows io.Writer) {
		fmt.Fprintln(rows, "ID\tVERDICT\tLAST CRASH\tSERVERS")
		for _, request := range list.Requests {
			fmt.Fprintf(rows, "%s\t%s\t%s\t%s\n", request.ID, request.Verdict, request.Last.Format(time.RFC3339), strings.Join(request.Servers, ","))
		}
		printState(rows, list.State)
	}
}
