package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/integrii/flaggy"

	"github.com/rosemaryspar/rosemaryspar/internal/wire/operator"
)

// configHistoryCommand lists the recent changes of the configuration with their effects.
type configHistoryCommand struct {
	connection
	after int64
}

func (configHistoryCommand *configHistoryCommand) declare(subcommand *flaggy.Subcommand) {
	configHistoryCommand.connection.declare(subcommand)
	subcommand.Int64(&configHistoryCommand.after, "", "after", "list the changes after this revision")
}

func (configHistoryCommand *configHistoryCommand) run(ctx context.Context, streams Streams) error {
	client, err := configHistoryCommand.client(streams)
	if err != nil {
		return err
	}
	effects, err := allEffects(ctx, client, configHistoryCommand.after)
	if err != nil {
		return err
	}
	return configHistoryCommand.print(streams, effects, func(rows io.Writer) {
		if effects.Since > configHistoryCommand.after {
			fmt.Fprintf(rows, "this entry no longer retains the changes up to revision %d\n", effects.Since)
		}
		for _, effect := range effects.Changes {
			fmt.Fprintf(rows, "revision %d by %s, change %s\n", effect.Revision, effect.Author, effect.ID)
			printDifferences(rows, effect.Differences)
		}
		printState(rows, effects.State)
	})
}

// allEffects returns the effects of all changes after a revision, which an entry lists in pages.
func allEffects(ctx context.Context, client *operator.Client, after int64) (operator.Effects, error) {
	effects, err := client.Effects(ctx, after)
	for err == nil && effects.More {
		var next operator.Effects
		next, err = client.Effects(ctx, effects.Changes[len(effects.Changes)-1].Revision)
		next.Changes = append(effects.Changes, next.Changes...)
		next.Since = effects.Since
		effects = next
	}
	return effects, err
}
