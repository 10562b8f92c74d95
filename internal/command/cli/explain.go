package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"text/tabwriter"
	"time"

	"github.com/integrii/flaggy"

	"github.com/rosemaryspar/rosemaryspar/internal/wire/explain"
)

// shownCandidates is the number of servers that the text output has.
const shownCandidates = 10

// explainCommand prints where a call would go now, and why, without sending it.
type explainCommand struct {
	address, output string
	query           explain.Query
	timeLimit       time.Duration
}

func (explainCommand *explainCommand) declare(subcommand *flaggy.Subcommand) {
	explainCommand.address, explainCommand.output = "127.0.0.1:9464", outputTable
	query := &explainCommand.query
	subcommand.String(&explainCommand.address, "", "address", "IP:port of an entry of the command node for health checks or metrics")
	subcommand.String(&explainCommand.output, "", "output", outputTable+" or "+outputJSON)
	subcommand.String(&query.Host, "", "host", "host of the call")
	subcommand.String(&query.Path, "", "path", "path of the call")
	subcommand.String(&query.Account, "", "account", "name of the client account")
	subcommand.String(&query.Key, "", "key", "access key, in place of the account")
	subcommand.String(&query.Prompt, "", "prompt", "parts of the prompt, ID:TOKENS,ID:TOKENS")
	subcommand.String(&query.Tokens, "", "tokens", "input and highest output tokens, INPUT,OUTPUT")
	subcommand.Int(&query.Hint, "", "hint", "the caller's estimate of the output tokens")
	subcommand.Duration(&explainCommand.timeLimit, "", "time-limit", "the caller's time limit")
}

func (explainCommand *explainCommand) run(ctx context.Context, streams Streams) error {
	if _, err := netip.ParseAddrPort(explainCommand.address); err != nil {
		return usageErrorf("--address: %q is not allowed, must be IP:port", explainCommand.address)
	}
	if explainCommand.output != outputTable && explainCommand.output != outputJSON {
		return usageErrorf("--output: %q is not allowed, must be %s or %s", explainCommand.output, outputTable, outputJSON)
	}
	explainCommand.query.TimeLimitMs = float64(explainCommand.timeLimit) / float64(time.Millisecond)
	if _, err := explainCommand.query.Request(); err != nil {
		return &usageError{err}
	}
	reply, err := explain.Ask(ctx, explainCommand.address, explainCommand.query)
	if err != nil {
		return err
	}
	if explainCommand.output == outputJSON {
		encoder := json.NewEncoder(streams.Output)
		encoder.SetIndent("", "  ")
		return encoder.Encode(reply)
	}
	return printExplanation(streams, reply)
}

// printExplanation prints a reply as text.
func printExplanation(streams Streams, reply explain.Reply) error {
	rows := tabwriter.NewWriter(streams.Output, 0, 0, 2, ' ', 0)
	fmt.Fprintf(rows, "Route\t%s\nAccount\t%s\nLimit\t%s\nService\t%s\n", reply.Route, reply.Account, reply.Limit, reply.Service)
	switch {
	case reply.Admitted:
		fmt.Fprintln(rows, "Decision\tadmitted")
	default:
		fmt.Fprintf(rows, "Decision\trefused, %s: %s; retry after %.0f ms\n", reply.Reason, reply.Detail, reply.RetryAfterMs)
	}
	if reply.ExpectedAmount > 0 {
		fmt.Fprintf(rows, "Expected\t%.0f events, or ms of a plain call\n", reply.ExpectedAmount)
	} else {
		fmt.Fprintln(rows, "Expected\tnot known, so the number of calls decides")
	}
	if reply.Chosen != "" {
		fmt.Fprintf(rows, "Server\t%s (%s), then %s\n", reply.Chosen, reply.ChosenReason, reply.RunnerUp)
	}
	if reply.Sample > 0 {
		fmt.Fprintf(rows, "Compared\tthe preferred servers and %d at random, so another call may go to another server\n", reply.Sample)
	}
	if err := rows.Flush(); err != nil || len(reply.Candidates) == 0 {
		return err
	}
	fmt.Fprintln(rows, "\nSERVER\tCOST\tPROMPT\tLOAD\tFACTOR\tBESIDE\tDURATION\tLATE\tGARBLING\tBY CALLS\tRUNNING\tNOTE")
	for _, candidate := range reply.Candidates[:min(shownCandidates, len(reply.Candidates))] {
		fmt.Fprintf(rows, "%s\t%.0f\t%.0f\t%.0f\t%.2f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%d\t%s\n", candidate.Server, candidate.Total, candidate.Prompt, candidate.Load,
			candidate.Factor, candidate.Beside, candidate.Duration, candidate.Late, candidate.Garbling, candidate.Counted, candidate.Running, noteOf(candidate))
	}
	return rows.Flush()
}

// noteOf returns what else there is to know of a candidate.
func noteOf(candidate explain.Candidate) string {
	switch {
	case candidate.ClosedMs > 0:
		return fmt.Sprintf("has asked for no calls for %.0f ms", candidate.ClosedMs)
	case candidate.Down:
		return "could not be reached"
	case candidate.Preferred:
		return "has the prompt"
	}
	return ""
}
