package cli

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/integrii/flaggy"

	"github.com/rosemaryspar/rosemaryspar/internal/core/fault"
	"github.com/rosemaryspar/rosemaryspar/internal/process/telemetry"
)

// requestsExplainCommand prints the decisions of an entry about the recent requests with an id, as the entry has them or as
// its log has them.
type requestsExplainCommand struct {
	connection
	id  string
	log string
}

func (requestsExplainCommand *requestsExplainCommand) declare(subcommand *flaggy.Subcommand) {
	requestsExplainCommand.connection.declare(subcommand)
	subcommand.String(&requestsExplainCommand.log, "", "log", "file with the log lines of one or more entries of the command node, - for standard input")
	subcommand.AddPositionalValue(&requestsExplainCommand.id, "ID", 1, false, "X-Request-Id of the request")
}

func (requestsExplainCommand *requestsExplainCommand) run(ctx context.Context, streams Streams) error {
	if requestsExplainCommand.id == "" {
		return usageErrorf("ID: missing, must be the X-Request-Id of a request")
	}
	if requestsExplainCommand.log != "" {
		return requestsExplainCommand.explainFromLog(streams)
	}
	client, err := requestsExplainCommand.client(streams)
	if err != nil {
		return err
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

// explainFromLog prints what the log has of the calls with the id.
func (requestsExplainCommand *requestsExplainCommand) explainFromLog(streams Streams) error {
	file := os.Stdin
	if requestsExplainCommand.log != "-" {
		opened, err := os.Open(requestsExplainCommand.log)
		if err != nil {
			return err
		}
		defer func() { _ = opened.Close() }() // Nothing was written.
		file = opened
	}
	calls, err := telemetry.FindLoggedCalls(file, requestsExplainCommand.id)
	if err != nil {
		return fault.Wrap(err, "read log", requestsExplainCommand.log)
	}
	if len(calls) == 0 {
		return fmt.Errorf("the log has no call with the ID %s", requestsExplainCommand.id)
	}
	for _, logged := range calls {
		logged.Explain(streams.Output)
	}
	return nil
}
