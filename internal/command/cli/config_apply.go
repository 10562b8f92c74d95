package cli

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/google/uuid"
	"github.com/integrii/flaggy"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	pipeconfig "github.com/rosemaryspar/rosemaryspar/internal/pipe/config"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/document"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/operator"
)

// applyAttempts is how many times a change is sent while it is unknown whether it was accepted.
const applyAttempts = 3

// configApplyCommand commits the documents of a file as a change of the configuration.
type configApplyCommand struct {
	connection
	file string
}

func (configApplyCommand *configApplyCommand) declare(subcommand *flaggy.Subcommand) {
	configApplyCommand.connection.declare(subcommand)
	subcommand.AddPositionalValue(&configApplyCommand.file, "FILE", 1, false, "file with documents; documents not in the file stay unchanged")
}

func (configApplyCommand *configApplyCommand) run(ctx context.Context, streams Streams) error {
	client, err := configApplyCommand.client(streams)
	if err != nil {
		return err
	}
	change, hasBase, err := readChange(configApplyCommand.file)
	if err != nil {
		return err
	}
	current, err := client.Config(ctx)
	if err != nil {
		return err
	}
	if !hasBase {
		change = change.WithBase(current.Revision)
	}
	if change.Base() == current.Revision {
		change = change.WithoutUnchanged(current.Set())
	}
	if change.Empty() {
		return configApplyCommand.print(streams, pipeconfig.Receipt{Revision: current.Revision}, func(rows io.Writer) {
			fmt.Fprintf(rows, "nothing to change at revision %d\n", current.Revision)
		})
	}
	receipt, err := commit(ctx, client, change)
	var refusal *operator.Refusal
	if errors.As(err, &refusal) {
		printRefusal(streams.Errors, refusal)
	}
	if err != nil {
		return err
	}
	return configApplyCommand.print(streams, receipt, func(rows io.Writer) { printReceipt(rows, receipt) })
}

// commit sends the change, up to [applyAttempts] times while its outcome is unknown. Each attempt has
// the same change id, so that the change is accepted at most once.
func commit(ctx context.Context, client *operator.Client, change config.Change) (pipeconfig.Receipt, error) {
	if change.ID == "" {
		change = change.WithID(uuid.NewString())
	}
	body, err := document.Encode(change)
	if err != nil {
		return pipeconfig.Receipt{}, err
	}
	for attempt := 1; ; attempt++ {
		receipt, err := client.Commit(ctx, body)
		var refusal *operator.Refusal
		resolved := err == nil || errors.As(err, &refusal) && !refusal.Unsure
		if resolved || attempt == applyAttempts || ctx.Err() != nil {
			return receipt, err
		}
	}
}

func printReceipt(rows io.Writer, receipt pipeconfig.Receipt) {
	printDifferences(rows, receipt.Differences)
	printFindings(rows, receipt.Findings)
	if receipt.Repeat {
		fmt.Fprintf(rows, "already accepted at revision %d\n", receipt.Revision)
		return
	}
	fmt.Fprintf(rows, "accepted at revision %d\n", receipt.Revision)
}
