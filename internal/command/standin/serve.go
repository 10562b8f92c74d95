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

// server is a stand-in that listens on an address.
type server interface {
	// Address returns the address that the stand-in listens on, as "IP:port".
	Address() string
	// Serve answers requests until ctx ends.
	Serve(ctx context.Context) error
}

// serveCommand runs one kind of stand-in, which listen opens. All kinds have the same flags, and each ignores
// those that do not apply to it.
type serveCommand struct {
	listen   func(address string, settings runner.Settings) (server, error)
	address  string
	settings runner.Settings
}

func newServeCommand(listen func(string, runner.Settings) (server, error)) *serveCommand {
	return &serveCommand{listen: listen, address: "127.0.0.1:0", settings: runner.Settings{
		Name: "standin", Slots: 8, PromptToken: 100 * time.Microsecond, AnswerToken: 20 * time.Millisecond,
		Operation: 10 * time.Millisecond, ChunkTokens: 1, CachePrompts: 100,
	}}
}

func (serveCommand *serveCommand) declare(subcommand *flaggy.Subcommand) {
	subcommand.String(&serveCommand.address, "", "address", "IP:port to listen on, port 0 for any free port")
	subcommand.String(&serveCommand.settings.Name, "", "name", "name of the backend server")
	subcommand.Int(&serveCommand.settings.Slots, "", "slots", "maximum number of requests that run at the same time")
	subcommand.Duration(&serveCommand.settings.PromptToken, "", "prompt-token", "time per prompt token")
	subcommand.Duration(&serveCommand.settings.AnswerToken, "", "answer-token", "time per generated token")
	subcommand.Duration(&serveCommand.settings.Operation, "", "operation", "time of one operation of a plain service")
	subcommand.String(&serveCommand.settings.CrashMark, "", "crash-mark", "text in a prompt or body that crashes the server")
}

func (serveCommand *serveCommand) run(ctx context.Context, output io.Writer) error {
	server, err := serveCommand.listen(serveCommand.address, serveCommand.settings)
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
	return keyValueServer{store}, nil
}

func listenEngine(address string, settings runner.Settings) (server, error) {
	simulated := runner.New(settings)
	server, err := engine.Listen(address, simulated)
	if err != nil {
		return nil, err
	}
	return crashingEngine{Server: server, runner: simulated}, nil
}

func listenService(address string, settings runner.Settings) (server, error) {
	return service.Listen(address, runner.New(settings))
}

// crashingEngine is an engine whose crash ends [crashingEngine.Serve] and thereby the process, so that the
// operating system resets its connections as at a real crash.
type crashingEngine struct {
	*engine.Server
	runner *runner.Runner
}

// Serve answers requests until ctx ends. It returns an error when the engine crashes.
func (crashingEngine crashingEngine) Serve(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- crashingEngine.Server.Serve(ctx) }()
	select {
	case err := <-failed:
		return err
	case <-crashingEngine.runner.Crashed():
		return errors.New("the engine crashed")
	}
}

// keyValueServer adapts the key-value stand-in, which serves from its creation on, to [server].
type keyValueServer struct {
	*kv.Server
}

// Serve waits until ctx ends and closes the stand-in.
func (keyValueServer keyValueServer) Serve(ctx context.Context) error {
	<-ctx.Done()
	return keyValueServer.Shutdown(ctx)
}
