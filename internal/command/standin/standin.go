package standin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/integrii/flaggy"

	"github.com/rosemaryspar/rosemaryspar/internal/fake/engine"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/kv"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/runner"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/service"
)

// server is a stand-in that listens.
type server interface {
	Address() string
	// Serve answers requests until the context ends.
	Serve(ctx context.Context) error
}

// options are the flags of all stand-ins; each uses those that it needs.
type options struct {
	address string
	work    runner.Settings
}

// kinds maps each kind of stand-in to the function that opens it.
var kinds = []struct {
	name, help string
	listen     func(options) (server, error)
}{
	{"kv", "the key-value service", func(options options) (server, error) {
		store, err := kv.Start(options.address)
		if err != nil {
			return nil, err
		}
		return keyValue{store}, nil
	}},
	{"engine", "a model engine", func(options options) (server, error) {
		work := runner.New(options.work)
		server, err := engine.Listen(options.address, work)
		return crashing{Server: server, runner: work}, err
	}},
	{"service", "a plain service", func(options options) (server, error) {
		return service.Listen(options.address, runner.New(options.work))
	}},
}

// command is a subcommand that ends by itself.
type command interface {
	declare(subcommand *flaggy.Subcommand)
	run(ctx context.Context, output io.Writer) error
}

// Main runs the stand-in that arguments name and returns the exit code.
func Main(ctx context.Context, arguments []string, output, faults io.Writer) int {
	hlog.SetOutput(faults)
	hlog.SetLevel(hlog.LevelWarn)
	parser := flaggy.NewParser("standin")
	parser.Description = "stand-ins for the systems around rosemaryspar"
	chosen := options{address: "127.0.0.1:0", work: runner.Settings{
		Name: "standin", Slots: 8, PromptToken: 100 * time.Microsecond, AnswerToken: 20 * time.Millisecond,
		Operation: 10 * time.Millisecond, ChunkTokens: 1, CachePrompts: 100,
	}}
	subcommands := make([]*flaggy.Subcommand, len(kinds))
	for i, kind := range kinds {
		subcommands[i] = flaggy.NewSubcommand(kind.name)
		subcommands[i].Description = kind.help
		chosen.declare(subcommands[i])
		parser.AttachSubcommand(subcommands[i], 1)
	}
	commands := []struct {
		subcommand *flaggy.Subcommand
		help       string
		command
	}{
		{flaggy.NewSubcommand("load"), "send requests to entries and report how they ended", &loadCommand{}},
		{flaggy.NewSubcommand("slopes"), "measure what an entry process costs, in about three minutes", slopesCommand{}},
	}
	for _, command := range commands {
		command.subcommand.Description = command.help
		command.declare(command.subcommand)
		parser.AttachSubcommand(command.subcommand, 1)
	}
	if err := parser.ParseArgs(arguments); err != nil {
		fmt.Fprintln(faults, "standin:", err)
		return 2
	}
	for _, command := range commands {
		if !command.subcommand.Used {
			continue
		}
		if err := command.run(ctx, output); err != nil {
			fmt.Fprintf(errors, "standin %s: %v\n", command.subcommand.Name, err)
			return 1
		}
		return 0
	}
	for i, subcommand := range subcommands {
		if !subcommand.Used {
			continue
		}
		if err := run(ctx, kinds[i].listen, chosen, output); err != nil {
			fmt.Fprintf(faults, "standin %s: %v\n", kinds[i].name, err)
			return 1
		}
		return 0
	}
	parser.ShowHelp()
	return 2
}

func (options *options) declare(subcommand *flaggy.Subcommand) {
	subcommand.String(&options.address, "", "address", "IP:port to listen on, port 0 for any free one")
	subcommand.String(&options.work.Name, "", "name", "name of the backend server")
	subcommand.Int(&options.work.Slots, "", "slots", "requests that run at once")
	subcommand.Duration(&options.work.PromptToken, "", "prompt-token", "time per prompt token")
	subcommand.Duration(&options.work.AnswerToken, "", "answer-token", "time per generated token")
	subcommand.Duration(&options.work.Operation, "", "operation", "time of one operation of a plain service")
	subcommand.String(&options.work.CrashMark, "", "crash-mark", "text in a prompt or body that crashes the server")
}

func run(ctx context.Context, listen func(options) (server, error), options options, output io.Writer) error {
	server, err := listen(options)
	if err != nil {
		return err
	}
	fmt.Fprintln(output, "listening on", server.Address())
	return server.Serve(ctx)
}

// crashing ends the process when the engine crashes, so that its connections are reset.
type crashing struct {
	*engine.Server
	runner *runner.Runner
}

// Serve answers requests until the context ends, or returns an error at a crash.
func (crashing crashing) Serve(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- crashing.Server.Serve(ctx) }()
	select {
	case err := <-failed:
		return err
	case <-crashing.runner.Crashed():
		return errors.New("crashed")
	}
}

// keyValue adapts the key-value stand-in, which serves from its start on.
type keyValue struct {
	*kv.Server
}

// Serve waits for the context and closes the stand-in.
func (keyValue keyValue) Serve(ctx context.Context) error {
	<-ctx.Done()
	return keyValue.Close()
}
