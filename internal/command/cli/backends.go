package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/integrii/flaggy"
	"k8s.io/apimachinery/pkg/labels"
)

// backendsCommand lists the backend servers with an entry's observations of them.
type backendsCommand struct {
	connection
}

func (backendsCommand *backendsCommand) declare(subcommand *flaggy.Subcommand) {
	backendsCommand.connection.declare(subcommand)
}

func (backendsCommand *backendsCommand) run(ctx context.Context, streams Streams) error {
	client, err := backendsCommand.client(streams)
	if err != nil {
		return err
	}
	list, err := client.Backends(ctx)
	if err != nil {
		return err
	}
	return backendsCommand.print(streams, list, func(rows io.Writer) {
		fmt.Fprintln(rows, "NAME\tDOMAIN\tADDRESS\tSLOTS\tIN FLIGHT\tLEAVING\tLABELS")
		for _, backend := range list.Backends {
			fmt.Fprintf(rows, "%s\t%s\t%s\t%d\t%d\t%t\t%s\n", backend.Name, backend.Domain, backend.Address, backend.Slots,
				backend.Observation.InFlight, backend.Leaving, labels.Set(backend.Labels))
		}
		printState(rows, list.State)
	})
}
