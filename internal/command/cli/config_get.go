package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/integrii/flaggy"
	"k8s.io/apimachinery/pkg/labels"

	"github.com/rosemaryspar/rosemaryspar/internal/wire/document"
)

// configGetCommand prints the configuration in force.
type configGetCommand struct {
	connection
}

func (configGetCommand *configGetCommand) declare(subcommand *flaggy.Subcommand) {
	configGetCommand.connection.declare(subcommand)
}

func (configGetCommand *configGetCommand) run(ctx context.Context, streams Streams) error {
	client, err := configGetCommand.client(streams)
	if err != nil {
		return err
	}
	answer, err := client.Config(ctx)
	if err != nil {
		return err
	}
	// The JSON output has the format that config apply reads.
	set := answer.Set()
	encoded, err := document.Encode(set.Change().WithBase(set.Revision()))
	if err != nil {
		return err
	}
	return configGetCommand.print(streams, json.RawMessage(encoded), func(rows io.Writer) {
		fmt.Fprintln(rows, "KIND\tNAME\tLABELS\tDETAILS")
		for _, service := range answer.Services {
			fmt.Fprintf(rows, "Service\t%s\t%s\t%s %s, %d ms, selects %s\n", service.Name, labels.Set(service.Labels), service.Protocol, service.Repeat, service.TimeoutMs, service.Selector)
		}
		for _, account := range answer.Accounts {
			fmt.Fprintf(rows, "Account\t%s\t%s\tweight %d, concurrency %d, %g requests/s, %g tokens/s\n", account.Name, labels.Set(account.Labels), account.Weight, account.Concurrency, account.RequestsPerSecond, account.TokensPerSecond)
		}
		for _, backend := range answer.Backends {
			fmt.Fprintf(rows, "Backend\t%s\t%s\t%s in %s, %d slots\n", backend.Name, labels.Set(backend.Labels), backend.Address, backend.Domain, backend.Slots)
		}
		printState(rows, answer.State)
	})
}
