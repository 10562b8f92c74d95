package try

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/engine"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/kv"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/runner"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/service"
	"github.com/rosemaryspar/rosemaryspar/internal/process/serve"
	"github.com/rosemaryspar/rosemaryspar/internal/process/settings"
	"github.com/rosemaryspar/rosemaryspar/internal/process/telemetry"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/document"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/operator"
)

// The access keys that the embedded configuration accepts.
const (
	CallerKey   = "try-caller"
	OperatorKey = "try-operator"
)

const (
	// configureTimeout bounds the time for committing the embedded configuration and putting it in force.
	configureTimeout = 15 * time.Second
	// configurePollInterval is the time between two reads of the revision in force.
	configurePollInterval = 20 * time.Millisecond
)

// Options holds the options of the try command.
type Options struct {
	// CallerAddress and OperatorAddress are the "IP:port" to listen on, port 0 for any free one.
	CallerAddress   string
	OperatorAddress string
	// Once makes Run send one completion and one order, print the answers and return.
	Once bool
	// Output receives the text for the user, and Log the log lines of the entry.
	Output io.Writer
	Log    io.Writer
}

// backendServer is a stand-in for a model engine or a plain service.
type backendServer interface {
	Address() string
	Serve(ctx context.Context) error
}

// Run runs the entry and its stand-ins until ctx ends or, with Options.Once, until the examples are answered.
//
// It returns the first error after all of them have stopped.
func Run(ctx context.Context, options Options) error {
	change, backends, err := listenStandIns()
	if err != nil {
		return fmt.Errorf("open the stand-ins of the backend servers: %w", err)
	}
	store, err := kv.Start("127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("start the stand-in of the key-value service: %w", err)
	}
	defer func() { _ = store.Shutdown(ctx) }()
	entry, err := serve.New(entrySettings(options, store.Address()), telemetry.NewLogger(options.Log, "try", "info"))
	if err != nil {
		return fmt.Errorf("build the entry: %w", err)
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	standInsContext, stopStandIns := context.WithCancel(context.WithoutCancel(ctx))
	group := &errgroup.Group{}
	for _, backend := range backends {
		group.Go(func() error { return backend.Serve(standInsContext) })
	}
	group.Go(func() error {
		// The stand-ins run until the entry has stopped, since it finishes its accepted requests first.
		defer stopStandIns()
		return entry.Run(ctx)
	})
	group.Go(func() error {
		err := configureAndShow(ctx, options, entry, change)
		if err != nil || options.Once {
			stop()
		}
		return err
	})
	return group.Wait()
}

// configureAndShow configures the entry. Then it prints the command lines of the examples or, with Options.Once,
// sends the examples and prints their answers.
func configureAndShow(ctx context.Context, options Options, entry *serve.Entry, change config.Change) error {
	if err := configure(ctx, entry.OperatorAddress(), change); err != nil {
		return fmt.Errorf("put the embedded configuration in force: %w", err)
	}
	if options.Once {
		return runExamples(ctx, options.Output, entry.CallerAddress())
	}
	printExamples(options.Output, entry)
	return nil
}

// configure commits the change through the operator API and waits until it is in force.
func configure(ctx context.Context, address string, change config.Change) error {
	client := operator.NewClient(address, OperatorKey)
	body, err := document.Encode(change.WithID("try"))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, configureTimeout)
	defer cancel()
	receipt, err := client.Commit(ctx, body)
	if err != nil {
		return err
	}
	for {
		current, err := client.Config(ctx)
		if err != nil {
			return err
		}
		if current.Revision >= receipt.Revision {
			return nil
		}
		select {
		case <-time.After(configurePollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// entrySettings returns the settings of an entry that uses the key-value service at storeAddress.
func entrySettings(options Options, storeAddress string) settings.Settings {
	return settings.Settings{
		Name:             "try",
		Domain:           "local",
		Region:           "local",
		CallerAddress:    options.CallerAddress,
		OperatorAddress:  options.OperatorAddress,
		PeerAddress:      "127.0.0.1:0",
		KVAddresses:      []string{storeAddress},
		KVCallsPerSecond: 200,
		Operators:        map[string]string{keyHash(OperatorKey): "operator"},
		MaxBodyBytes:     1 << 20,
		DialTimeout:      time.Second,
		StopTimeout:      10 * time.Second,
		HandoverTime:     time.Second,
	}
}

// listenStandIns opens the stand-ins of the backend servers and returns the configuration that describes them.
func listenStandIns() (config.Change, []backendServer, error) {
	change := config.Change{
		Revision: 1,
		Accounts: []config.Account{{Name: "desk", KeyHash: keyHash(CallerKey), Weight: 1}},
		Services: []config.Service{
			{Name: "assistant", Protocol: config.ProtocolEngine, Repeat: config.RepeatIdempotent, Selector: "role=assistant", TimeoutMs: 60_000},
			{Name: "stock", Protocol: config.ProtocolPlain, Repeat: config.RepeatIdempotent, Selector: "role=stock", TimeoutMs: 10_000},
			{Name: "deposit", Protocol: config.ProtocolPlain, Repeat: config.RepeatNever, Selector: "role=deposit", StatusPath: "/status", TimeoutMs: 10_000},
		},
	}
	var backends []backendServer
	for _, role := range []string{"assistant", "assistant", "stock", "deposit"} {
		name := fmt.Sprintf("%s-%d", role, len(backends))
		backend, err := listenStandIn(name, role)
		if err != nil {
			return config.Change{}, nil, err
		}
		backends = append(backends, backend)
		change.Backends = append(change.Backends, config.Backend{
			Name: name, Address: backend.Address(), Domain: "local", Slots: 8, Labels: map[string]string{"role": role},
		})
	}
	return change, backends, nil
}

// listenStandIn opens the stand-in of one backend server: a model engine for the role "assistant", a plain
// service for any other role.
func listenStandIn(name, role string) (backendServer, error) {
	work := runner.New(runner.Settings{
		Name: name, Slots: 8, PromptToken: 100 * time.Microsecond, AnswerToken: 20 * time.Millisecond,
		Operation: 10 * time.Millisecond, CachePrompts: 100,
	})
	if role == "assistant" {
		return engine.Listen("127.0.0.1:0", work)
	}
	return service.Listen("127.0.0.1:0", work)
}

// keyHash returns the SHA-256 of an access key in hexadecimal digits.
func keyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
