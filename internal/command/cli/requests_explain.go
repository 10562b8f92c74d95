package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/integrii/flaggy"
)

// requestsExplainCommand prints the decisions of an entry about the recent requests with an id.
type requestsExplainCommand struct {
	connection
	id string
}

func (requestsExplainCommand *requestsExplainCommand) declare(subcommand *flaggy.Subcommand) {
	requestsExplainCommand.connection.declare(subcommand)
	subcommand.AddPositionalValue(&requestsExplainCommand.id, "ID", 1, false, "X-Request-Id of the request")
}

func (requestsExplainCommand *requestsExplainCommand) run(ctx context.Context, streams Streams) error {
	client, err := requestsExplainCommand.client(streams)
	if err != nil {
		return err
	}
	if requestsExplainCommand.id == "" {
		return usageErrorf("ID: missing, must be the X-Request-Id of a request")
	}
	explanations, err := client.Explain(ctx, requestsExplainCommand.id)
	if err != nil {
		return err
	}
	return requestsExplainCommand.print(streams, explanations, func(rows io.Writer) {
		for _, explained := range explanations.Requests {
			fmt.Fprintf(rows, "%s %s of %s, %d ms to the first token, %d ms in all, %d tokens %s\n", explained.Class, explained.Service,
				explained.Account, explained.FirstTokenMs, explained.WholeMs, explained.Tokens, explained.Error)
			for _, decision := range explained.Decisions {
				fmt.Fprintf(rows, "%s\t%s\t%s\t%s\t%s\n", decision.At.Format("15:04:05.000"), decision.Step, decision.Reason, decision.Peer, decision.Detail)
			}
		}
	})
}
