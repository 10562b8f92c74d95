package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"text/tabwriter"

	"github.com/integrii/flaggy"

	"github.com/rosemaryspar/rosemaryspar/internal/wire/operator"
)

// keyVariable holds the operator's key, which a flag would show in the list of processes.
const keyVariable = "ROSEMARYSPAR_OPERATOR_KEY"

// The forms of output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// connection is the flags of the commands that call an entry.
type connection struct {
	address, key, output string
}

func (connection *connection) declare(subcommand *flaggy.Subcommand) {
	connection.address, connection.output = "127.0.0.1:8081", outputTable
	subcommand.String(&connection.address, "", "address", "IP:port of an entry's front end for operators")
	subcommand.String(&connection.key, "", "key", "operator's key ("+keyVariable+")")
	subcommand.String(&connection.output, "", "output", outputTable+" or "+outputJSON)
}

// client checks the flags and returns the client of the entry.
func (connection *connection) client(streams Streams) (*operator.Client, error) {
	if _, err := netip.ParseAddrPort(connection.address); err != nil {
		return nil, usage("--address: %q is not allowed, must be IP:port", connection.address)
	}
	if connection.output != outputTable && connection.output != outputJSON {
		return nil, usage("--output: %q is not allowed, must be %s or %s", connection.output, outputTable, outputJSON)
	}
	key := connection.key
	if key == "" {
		key = streams.environment(keyVariable)
	}
	if key == "" {
		return nil, usage("--key (%s): missing, must be an operator's key", keyVariable)
	}
	return operator.NewClient(connection.address, key), nil
}

// print writes value as JSON, or else the rows that table writes, with cells ended by tabs.
func (connection *connection) print(streams Streams, value any, table func(rows io.Writer)) error {
	if connection.output == outputJSON {
		encoder := json.NewEncoder(streams.Output)
		encoder.SetEscapeHTML(false)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	rows := tabwriter.NewWriter(streams.Output, 0, 0, 2, ' ', 0)
	table(rows)
	return rows.Flush()
}

// printState writes which configuration a table was read from.
func printState(rows io.Writer, state operator.State) {
	age := "age not known"
	if state.AgeMs != nil {
		age = fmt.Sprintf("%d ms old", *state.AgeMs)
	}
	fmt.Fprintf(rows, "\nrevision %d at entry %s, %s\n", state.Revision, state.Entry, age)
}

func usage(format string, args ...any) error {
	return &usageError{fmt.Errorf(format, args...)}
}
