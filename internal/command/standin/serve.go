package standin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

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

// serveCommand runs a stand-in; each kind uses the flags that it needs.
type serveCommand struct {
	listen  func(address string, work runner.Settings) (server, error)
	address string
	work    runner.Settings
}

func newServeCommand(listen func(string, runner.Settings) (server, error)) *serveCommand {
	return &serveCommand{listen: listen, address: "127.0.0.1:0", work: runner.Settings{
		Name: "standin", Slots: 8, PromptToken: 100 * time.Microsecond, AnswerToken: 20 * time.Millisecond,
		Operation: 10 * time.Millisecond, ChunkTokens: 1, CachePrompts: 100,
	}}
}

func (serveCommand *serveCommand) declare(subcommand *flaggy.Subcommand) {
	subcommand.String(&serveCommand.address, "", "address", "IP:port to listen on, port 0 for any free one")
	subcommand.String(&serveCommand.work.Name, "", "name", "name of the backend server")
	subcommand.Int(&serveCommand.work.Slots, "", "slots", "requests that run at once")
	subcommand.Duration(&serveCommand.work.PromptToken, "", "prompt-token", "time per prompt token")
	subcommand.Duration(&serveCommand.work.AnswerToken, "", "answer-token", "time per generated token")
	subcommand.Duration(&serveCommand.work.Operation, "", "operation", "time of one operation of a plain service")
	subcommand.String(&serveCommand.work.CrashMark, "", "crash-mark", "text in a prompt or body that crashes the server")
}

func (serveCommand *serveCommand) run(ctx context.Context, output io.Writer) error {
	server, err := serveCommand.listen(serveCommand.address, serveCommand.work)
	if err != nil {
		return err
	}
	fmt.Fprintln(output, "listening on", server.Address())
	return server.Serve(ctx)
}

func listenKV(address string, _ runner.Settings) (server, error) {
	store, err := kv.Start(address)
	if err != nil {
		return nil, err
	}
	return keyValue{store}, nil
}

func listenEngine(address string, settings runner.Settings) (server, error) {
	work := runner.New(settings)
	server, err := engine.Listen(address, work)
	if err != nil {
		return nil, err
	}
	return crashing{Server: server, runner: work}, nil
}

func listenService(address string, settings runner.Settings) (server, error) {
	return service.Listen(address, runner.New(settings))
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
