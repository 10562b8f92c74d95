package cli

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/integrii/flaggy"
)

// Exit codes of the program.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// Streams are the standard streams of the program.
type Streams struct {
	Output io.Writer
	Errors io.Writer
}

// command is one subcommand.
type command interface {
	// declare adds the subcommand's flags.
	declare(subcommand *flaggy.Subcommand)
	// run does the work once the flags have been read.
	run(ctx context.Context, streams Streams) error
}

// usageError is a fault in the command line or in a setting.
type usageError struct {
	cause error
}

func (err *usageError) Error() string { return err.cause.Error() }

func (err *usageError) Unwrap() error { return err.cause }

// commands lists the subcommands in the order of the help text.
func commands() []entry {
	return []entry{
		{"serve", "run an entry process", &serveCommand{}},
		{"try", "run an entry with stand-ins in one process", &tryCommand{}},
		{"version", "print the version", &versionCommand{}},
	}
}

type entry struct {
	name, help string
	command    command
}

// Main runs the command that arguments name and returns the exit code.
//
// Arguments exclude the program's name. The context ends on the signals that
// stop the program.
func Main(ctx context.Context, arguments []string, streams Streams) int {
	parser := flaggy.NewParser("rosemaryspar")
	parser.Description = "serving system for reclaimable VMs"
	parser.Version = version()
	parser.AdditionalHelpAppend = "\n  Example: rosemaryspar try --once"
	entries := commands()
	subcommands := make([]*flaggy.Subcommand, len(entries))
	for i, entry := range entries {
		subcommands[i] = flaggy.NewSubcommand(entry.name)
		subcommands[i].Description = entry.help
		entry.command.declare(subcommands[i])
		parser.AttachSubcommand(subcommands[i], 1)
	}
	if err := parser.ParseArgs(arguments); err != nil {
		return fail(streams, &usageError{err})
	}
	for i, subcommand := range subcommands {
		if subcommand.Used {
			return fail(streams, entries[i].command.run(ctx, streams))
		}
	}
	parser.ShowHelp()
	return ExitUsage
}

// fail prints an error and returns the exit code for it.
func fail(streams Streams, err error) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(streams.Errors, "rosemaryspar:", err)
	var usage *usageError
	if errors.As(err, &usage) {
		return ExitUsage
	}
	return ExitFailed
}
