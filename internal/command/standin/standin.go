package standin

import (
	"context"
	"fmt"
	"io"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/integrii/flaggy"
)

// command is the implementation of one subcommand.
type command interface {
	// declare adds the subcommand's flags.
	declare(subcommand *flaggy.Subcommand)
	// run executes the subcommand until it has finished or ctx ends.
	run(ctx context.Context, output io.Writer) error
}

// commandSpec is a command with its name and help text.
type commandSpec struct {
	name, help string
	command    command
}

// commands lists the subcommands in the order of the help text.
func commands() []commandSpec {
	return []commandSpec{
		{"kv", "run a stand-in for the key-value service", newServeCommand(listenKV)},
		{"engine", "run a stand-in for a model engine", newServeCommand(listenEngine)},
		{"service", "run a stand-in for a plain service", newServeCommand(listenService)},
		{"load", "send requests to entries and report their times and outcomes", &loadCommand{}},
		{"slopes", "measure the marginal costs of an entry process, in about three minutes", slopesCommand{}},
	}
}

// Main runs the command given by arguments, which exclude the program's name, and returns the exit code:
// 0 on success, 1 if the command failed, 2 if the command line is invalid.
func Main(ctx context.Context, arguments []string, output, errorOutput io.Writer) int {
	hlog.SetOutput(errorOutput)
	hlog.SetLevel(hlog.LevelWarn)
	parser := flaggy.NewParser("standin")
	parser.Description = "stand-ins for the systems around rosemaryspar"
	specs := commands()
	subcommands := make([]*flaggy.Subcommand, len(specs))
	for i, spec := range specs {
		subcommands[i] = flaggy.NewSubcommand(spec.name)
		subcommands[i].Description = spec.help
		spec.command.declare(subcommands[i])
		parser.AttachSubcommand(subcommands[i], 1)
	}
	if err := parser.ParseArgs(arguments); err != nil {
		fmt.Fprintln(errorOutput, "standin:", err)
		return exitUsage
	}
	for i, subcommand := range subcommands {
		if !subcommand.Used {
			continue
		}
		if err := specs[i].command.run(ctx, output); err != nil {
			fmt.Fprintf(errorOutput, "standin %s: %v\n", specs[i].name, err)
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
