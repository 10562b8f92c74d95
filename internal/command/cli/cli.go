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
	// ExitOK is the exit code of a command that succeeded.
	ExitOK = 0
	// ExitFailed is the exit code of a command that failed or was refused.
	ExitFailed = 1
	// ExitUsage is the exit code for an invalid command line or setting, and for a call without a command.
	ExitUsage = 2
)

// Streams are the standard streams and the environment of the program.
type Streams struct {
	Output io.Writer
	Errors io.Writer
	// Lookup returns the value of an environment variable and whether it is set; nil means [os.LookupEnv].
	Lookup func(name string) (string, bool)
}

// environment returns the value of an environment variable, or "" if it is not set.
func (streams Streams) environment(name string) string {
	lookup := streams.Lookup
	if lookup == nil {
		lookup = os.LookupEnv
	}
	value, _ := lookup(name)
	return value
}

// command is the implementation of one subcommand.
type command interface {
	// declare adds the subcommand's flags.
	declare(subcommand *flaggy.Subcommand)
	// run executes the subcommand, after the flags have been parsed.
	run(ctx context.Context, streams Streams) error
}

// usageError is an error in the command line or in a setting, for which the exit code is [ExitUsage].
type usageError struct {
	cause error
}

func (err *usageError) Error() string { return err.cause.Error() }

func (err *usageError) Unwrap() error { return err.cause }

// commands returns the subcommands in the order of the help text. A name of two words consists of the name of
// a group and the name of a subcommand in it.
func commands() []commandSpec {
	return []commandSpec{
		{"serve", "run an entry process", "serve --name entry-1 --domain quimper --kv-addresses 10.0.0.5:2379", &serveCommand{}},
		{"node", "run an entry process on a platform with a metadata store and a cloud API", "node --settings /etc/rosemaryspar/local.json", &nodeCommand{}},
		{"try", "run an entry with stand-ins in one process", "try --once", &tryCommand{}},
		{"config get", "print the configuration in force", "config get --output json > config.json", &configGetCommand{}},
		{"config diff", "show what a file would change, with errors and warnings", "config diff runner-7.json", &configDiffCommand{}},
		{"config apply", "put or delete the documents listed in a file", "config apply runner-7.json", &configApplyCommand{}},
		{"config history", "list the recent changes and what each did", "config history --after 1200", &configHistoryCommand{}},
		{"config wait", "wait until a revision is in force at every entry", "config wait 1207 --timeout 10s", &configWaitCommand{}},
		{"select", "list the documents whose labels a selector matches", `select "role=draft,class in (small,large)"`, &selectCommand{}},
		{"backends", "list the backend servers as an entry sees them", "backends --address 10.0.0.7:8081", &backendsCommand{}},
		{"entries", "list the entries and the revision in force at each", "entries --output json", &entriesCommand{}},
		{"quarantine list", "list the requests that crashed backend servers", "quarantine list", &quarantineListCommand{}},
		{"quarantine release", "allow a quarantined request to run again", "quarantine release 00f3a1c2d4e5f607@customer-desk", &quarantineReleaseCommand{}},
		{"requests explain", "show the decisions of an entry about a recent request", "requests explain 5f1c0a --log entries.log", &requestsExplainCommand{}},
		{"explain", "show where a call would go now, and why, without sending it", "explain --host chat.example --path /v1/chat --account desk --tokens 1460,80", &explainCommand{}},
		{"settings check", "report all faults of a platform's settings file", "settings check /etc/rosemaryspar/local.json", &settingsCheckCommand{}},
		{"version", "print the version", "version", &versionCommand{}},
	}
}

// commandSpec is a command with its name, its help text and an example of its arguments.
type commandSpec struct {
	name, help, example string
	command             command
}

// groupHelp holds the help texts of the groups, which are the first words of names of two words.
var groupHelp = map[string]string{
	"config":     "read and change the configuration",
	"quarantine": "list and release requests that crashed backend servers",
	"requests":   "inspect requests",
	"settings":   "check settings of the command node",
}

// Main runs the command given by arguments and returns the exit code.
//
// Arguments exclude the program's name. A running command stops when ctx ends, which
// the caller ties to the signals that stop the program. Errors are printed to streams.Errors.
func Main(ctx context.Context, arguments []string, streams Streams) int {
	parser := flaggy.NewParser("rosemaryspar")
	parser.Description = "serving system for reclaimable VMs"
	parser.Version = version()
	parser.AdditionalHelpAppend = "\n  Example: rosemaryspar try --once"
	specs := commands()
	subcommands := attach(parser, specs)
	if err := parser.ParseArgs(arguments); err != nil {
		return report(streams, &usageError{err})
	}
	for i, subcommand := range subcommands {
		if subcommand.Used {
			return report(streams, specs[i].command.run(ctx, streams))
		}
	}
	parser.ShowHelp()
	return ExitUsage
}

// attach adds the subcommands to the parser and returns them in the order of specs.
func attach(parser *flaggy.Parser, specs []commandSpec) []*flaggy.Subcommand {
	groups := map[string]*flaggy.Subcommand{}
	subcommands := make([]*flaggy.Subcommand, len(specs))
	for i, spec := range specs {
		group, name, nested := strings.Cut(spec.name, " ")
		if !nested {
			name = group
		}
		subcommand := flaggy.NewSubcommand(name)
		subcommand.Description = spec.help
		subcommand.AdditionalHelpAppend = "\n  Example: rosemaryspar " + spec.example
		spec.command.declare(subcommand)
		subcommands[i] = subcommand
		if !nested {
			parser.AttachSubcommand(subcommand, 1)
			continue
		}
		if groups[group] == nil {
			groups[group] = flaggy.NewSubcommand(group)
			groups[group].Description = groupHelp[group]
			parser.AttachSubcommand(groups[group], 1)
		}
		groups[group].AttachSubcommand(subcommand, 1)
	}
	return subcommands
}

// report prints an error, if any, and returns the exit code for it.
func report(streams Streams, err error) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(streams.Errors, "rosemaryspar:", err)
	var wrongUsage *usageError
	if errors.As(err, &wrongUsage) {
		return ExitUsage
	}
	return ExitFailed
}
