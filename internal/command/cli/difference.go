package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/document"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/operator"
)

// readChange decodes a file with documents into a change; hasBase reports whether the file specifies the
// base revision of the change.
func readChange(file string) (change config.Change, hasBase bool, err error) {
	if file == "" {
		return change, false, usageErrorf("FILE: missing, must be a file with documents")
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return change, false, err
	}
	change, err = document.DecodeFile(text)
	if err != nil {
		return change, false, fmt.Errorf("%s: %w", file, err)
	}
	return change, change.Revision > 0, nil
}

func printDifferences(rows io.Writer, differences []config.Difference) {
	for _, difference := range differences {
		fmt.Fprintf(rows, "%s\t%s\t%s\t\n", difference.Operation, difference.Kind, difference.Name)
		for _, field := range difference.Fields {
			fmt.Fprintf(rows, "\t\t  %s\t%s -> %s\n", field.Field, field.Before, field.After)
		}
	}
}

func printFindings(output io.Writer, findings []config.Finding) {
	for _, finding := range findings {
		fmt.Fprintln(output, finding)
	}
}

// printRefusal writes the findings and the conflicting change of a refusal, which its message does not contain.
func printRefusal(output io.Writer, refusal *operator.Refusal) {
	printFindings(output, refusal.Findings)
	if refusal.Winner == nil {
		return
	}
	if text, err := json.MarshalIndent(refusal.Winner, "", "  "); err == nil {
		fmt.Fprintf(output, "the change that came first:\n%s\n", text)
	}
}
