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

// keyVariable is the environment variable with the operator's key. A key given as a flag is visible in
// the list of processes.
const keyVariable = "ROSEMARYSPAR_OPERATOR_KEY"

// The values of --output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// connection holds the flags of the commands that call the operator front end of an entry.
type connection struct {
	address, key, output string
}

func (connection *connection) declare(subcommand *flaggy.Subcommand) {
	connection.address, connection.output = "127.0.0.1:8081", outputTable
	subcommand.String(&connection.address, "", "address", "IP:port of an entry's front end for operators")
	subcommand.String(&connection.key, "", "key", "operator's key ("+keyVariable+")")
	subcommand.String(&connection.output, "", "output", outputTable+" or "+outputJSON)
}

// client validates the flags and returns a client of the entry, or a [usageError].
func (connection *connection) client(streams Streams) (*operator.Client, error) {
	if _, err := netip.ParseAddrPort(connection.address); err != nil {
		return nil, usageErrorf("--address: %q is not allowed, must be IP:port", connection.address)
	}
	if connection.output != outputTable && connection.output != outputJSON {
		return nil, usageErrorf("--output: %q is not allowed, must be %s or %s", connection.output, outputTable, outputJSON)
	}
	key := connection.key
	if key == "" {
		key = streams.environment(keyVariable)
	}
	if key == "" {
		return nil, usageErrorf("--key (%s): missing, must be an operator's key", keyVariable)
	}
	return operator.NewClient(connection.address, key), nil
}

// print writes value as JSON, or the rows of table in aligned columns, depending on --output. The
// cells of a row end with tabs.
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

// printState writes the revision at which a table was read, the entry that it was read from, and the age of the
// data.
func printState(rows io.Writer, state operator.State) {
	age := "age unknown"
	if state.AgeMs != nil {
		age = fmt.Sprintf("%d ms old", *state.AgeMs)
	}
	fmt.Fprintf(rows, "\nrevision %d at entry %s, %s\n", state.Revision, state.Entry, age)
}

// usageErrorf returns a [usageError] with a formatted message.
func usageErrorf(format string, args ...any) error {
	return &usageError{fmt.Errorf(format, args...)}
}
