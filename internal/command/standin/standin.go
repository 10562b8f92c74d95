package standin

import (
	"context"
	"fmt"
	"io"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/integrii/flaggy"
)

// command is one subcommand.
type command interface {
	declare(subcommand *flaggy.Subcommand)
	// run does the work until it is done or the context ends.
	run(ctx context.Context, output io.Writer) error
}

// entry is a command with its name and help text.
type entry struct {
	name, help string
	command    command
}

// commands lists the subcommands in the order of the help text.
func commands() []entry {
	return []entry{
		{"kv", "the key-value service", newServeCommand(listenKV)},
		{"engine", "a model engine", newServeCommand(listenEngine)},
		{"service", "a plain service", newServeCommand(listenService)},
		{"load", "send requests to entries and report how they ended", &loadCommand{}},
		{"slopes", "measure what an entry process costs, in about three minutes", slopesCommand{}},
	}
}

// Main runs the command that arguments name and returns the exit code.
func Main(ctx context.Context, arguments []string, output, faults io.Writer) int {
	hlog.SetOutput(faults)
	hlog.SetLevel(hlog.LevelWarn)
	parser := flaggy.NewParser("standin")
	parser.Description = "stand-ins for the systems around rosemaryspar"
	entries := commands()
	subcommands := make([]*flaggy.Subcommand, len(entries))
	for i, entry := range entries {
		subcommands[i] = flaggy.NewSubcommand(entry.name)
		subcommands[i].Description = entry.help
		entry.command.declare(subcommands[i])
		parser.AttachSubcommand(subcommands[i], 1)
	}
	if err := parser.ParseArgs(arguments); err != nil {
		fmt.Fprintln(faults, "standin:", err)
		return exitUsage
	}
	for i, subcommand := range subcommands {
		if !subcommand.Used {
			continue
		}
		if err := entries[i].command.run(ctx, output); err != nil {
			fmt.Fprintf(faults, "standin %s: %v\n", entries[i].name, err)
			return exitFailed
		}
		return 0
	}
	parser.ShowHelp()
	return exitUsage
}

// Exit codes of the program.
const (
	exitFailed = 1
	exitUsage  = 2
)
