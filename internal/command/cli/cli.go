package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

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
	// Lookup finds an environment variable; nil stands for [os.LookupEnv].
	Lookup func(name string) (string, bool)
}

// environment returns a variable of the environment, empty for none.
func (streams Streams) environment(name string) string {
	lookup := streams.Lookup
	if lookup == nil {
		lookup = os.LookupEnv
	}
	value, _ := lookup(name)
	return value
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

// commands lists the subcommands in the order of the help text; a name of two
// words is a subcommand of the first.
func commands() []entry {
	return []entry{
		{"serve", "run an entry process", "serve --name entry-1 --domain quimper --kv-addresses 10.0.0.5:2379", &serveCommand{}},
		{"node", "run an entry process on the users' platform", "node --settings /etc/rosemaryspar/local.json", &nodeCommand{}},
		{"try", "run an entry with stand-ins in one process", "try --once", &tryCommand{}},
		{"config get", "print the configuration in force", "config get --output json > config.json", &configGetCommand{}},
		{"config diff", "show what a file would change, and what is wrong with it", "config diff runner-7.json", &configDiffCommand{}},
		{"config apply", "change the configuration by the documents of a file", "config apply runner-7.json", &configApplyCommand{}},
		{"config history", "list the recent changes and what each did", "config history --after 1200", &configHistoryCommand{}},
		{"config wait", "wait until a revision is in force at every entry", "config wait 1207 --timeout 10s", &configWaitCommand{}},
		{"select", "list the documents whose labels a selector matches", `select "role=draft,class in (small,large)"`, &selectCommand{}},
		{"backends", "list the backend servers as an entry sees them", "backends --address 10.0.0.7:8081", &backendsCommand{}},
		{"entries", "list the entries and the revision in force at each", "entries --output json", &entriesCommand{}},
		{"quarantine list", "list the requests that crashed backend servers", "quarantine list", &quarantineListCommand{}},
		{"quarantine release", "let such a request run again", "quarantine release 00f3a1c2d4e5f607@customer-desk", &quarantineReleaseCommand{}},
		{"requests explain", "tell how an entry decided a recent request", "requests explain 5f1c0a", &requestsExplainCommand{}},
		{"version", "print the version", "version", &versionCommand{}},
	}
}

type entry struct {
	name, help, example string
	command             command
}

// groups describes the first words of names of two words.
var groups = map[string]string{
	"config":     "read and change the configuration",
	"quarantine": "look at requests that crashed backend servers, and release them",
	"requests":   "look at requests",
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
	subcommands := attach(parser, entries)
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

// attach declares the subcommands and returns them in the order of entries.
func attach(parser *flaggy.Parser, entries []entry) []*flaggy.Subcommand {
	parents := map[string]*flaggy.Subcommand{}
	subcommands := make([]*flaggy.Subcommand, len(entries))
	for i, entry := range entries {
		group, name, nested := strings.Cut(entry.name, " ")
		if !nested {
			name = group
		}
		subcommand := flaggy.NewSubcommand(name)
		subcommand.Description = entry.help
		subcommand.AdditionalHelpAppend = "\n  Example: rosemaryspar " + entry.example
		entry.command.declare(subcommand)
		subcommands[i] = subcommand
		if !nested {
			parser.AttachSubcommand(subcommand, 1)
			continue
		}
		if parents[group] == nil {
			parents[group] = flaggy.NewSubcommand(group)
			parents[group].Description = groups[group]
			parser.AttachSubcommand(parents[group], 1)
		}
		parents[group].AttachSubcommand(subcommand, 1)
	}
	return subcommands
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
