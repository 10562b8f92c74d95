package standin

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/integrii/flaggy"

	"github.com/rosemaryspar/rosemaryspar/internal/fake/caller"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/load"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// Bounds of one run, so that a mistyped flag cannot overload the machine.
const (
	maxLoadRequests = 100_000
	maxLoadDuration = 10 * time.Minute
	// loadDrainTimeout is the time that requests in progress have to finish after the last arrival.
	loadDrainTimeout = time.Minute
)

// loadCommand sends requests to entries and prints a report of their times and outcomes.
type loadCommand struct {
	addresses []string
	key       string
	service   string
	rate      float64
	tokens    int
	duration  time.Duration
	seed      uint64
	withKey   bool
}

func (loadCommand *loadCommand) declare(subcommand *flaggy.Subcommand) {
	loadCommand.service, loadCommand.rate, loadCommand.tokens = "assistant", 1, 16
	loadCommand.duration, loadCommand.seed = 10*time.Second, 1
	subcommand.StringSlice(&loadCommand.addresses, "", "address", "IP:port of an entry's front end for callers; may be given several times")
	subcommand.String(&loadCommand.key, "", "key", "access key of a client account")
	subcommand.String(&loadCommand.service, "", "service", "service to send the requests to")
	subcommand.Float64(&loadCommand.rate, "", "rate", "mean number of requests per second")
	subcommand.Int(&loadCommand.tokens, "", "tokens", "length of each answer in tokens, 0 for a plain service")
	subcommand.Duration(&loadCommand.duration, "", "duration", "time during which requests are sent")
	subcommand.UInt64(&loadCommand.seed, "", "seed", "seed of the arrival times and the request contents")
	subcommand.Bool(&loadCommand.withKey, "", "with-key", "give each request an idempotency key")
}

// check validates the flags.
func (loadCommand *loadCommand) check() error {
	if len(loadCommand.addresses) == 0 {
		return fmt.Errorf("--address: missing, must be IP:port")
	}
	for _, address := range loadCommand.addresses {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return fmt.Errorf("--address: %q is not allowed, must be IP:port", address)
		}
	}
	switch {
	case loadCommand.duration <= 0 || loadCommand.duration > maxLoadDuration:
		return fmt.Errorf("--duration: %v is not allowed, must be above 0 and at most %v", loadCommand.duration, maxLoadDuration)
	case loadCommand.rate <= 0 || loadCommand.rate*loadCommand.duration.Seconds() > maxLoadRequests:
		return fmt.Errorf("--rate: %v is not allowed, must be above 0 and give at most %d requests in the duration", loadCommand.rate, maxLoadRequests)
	}
	return nil
}

func (loadCommand *loadCommand) run(ctx context.Context, output io.Writer) error {
	if err := loadCommand.check(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, loadCommand.duration+loadDrainTimeout)
	defer cancel()
	var entries []request.Handler
	for _, address := range loadCommand.addresses {
		entries = append(entries, caller.New(address, loadCommand.key))
	}
	report := load.Run(ctx, load.Settings{Seed: loadCommand.seed, Duration: loadCommand.duration, Mix: []load.Work{{
		Name: "load", Service: loadCommand.service, PerSecond: loadCommand.rate,
		Tokens: loadCommand.tokens, WithKey: loadCommand.withKey,
	}}}, entries)
	_, err := fmt.Fprint(output, report)
	return err
}
