package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/rosemaryspar/rosemaryspar/internal/wire/operator"
)

const (
	// waitTimeout is above the bound in which a change is in force everywhere.
	waitTimeout = 30 * time.Second
	// waitPeriod is the time between two looks at the entries.
	waitPeriod = 250 * time.Millisecond
)

// configWaitCommand waits until a revision is in force at every entry.
type configWaitCommand struct {
	connection
	revision string
	timeout  time.Duration
}

func (configWaitCommand *configWaitCommand) declare(subcommand *flaggy.Subcommand) {
	configWaitCommand.connection.declare(subcommand)
	configWaitCommand.timeout = waitTimeout
	subcommand.Duration(&configWaitCommand.timeout, "", "timeout", "how long to wait")
	subcommand.AddPositionalValue(&configWaitCommand.revision, "REVISION", 1, false, "revision that apply printed")
}

func (configWaitCommand *configWaitCommand) run(ctx context.Context, streams Streams) error {
	client, err := configWaitCommand.client(streams)
	if err != nil {
		return err
	}
	revision, err := strconv.ParseInt(configWaitCommand.revision, 10, 64)
	if err != nil || revision < 0 {
		return usage("REVISION: %q is not allowed, must be a revision", configWaitCommand.revision)
	}
	ctx, cancel := context.WithTimeout(ctx, configWaitCommand.timeout)
	defer cancel()
	list, err := waitFor(ctx, client, revision)
	if err != nil {
		return err
	}
	return configWaitCommand.print(streams, list, func(rows io.Writer) {
		fmt.Fprintf(rows, "revision %d is in force at all entries (%d)\n", revision, len(list.Entries))
	})
}

// waitFor looks at the entries until none lags, or returns an error that names those that do.
func waitFor(ctx context.Context, client *operator.Client, revision int64) (operator.EntryList, error) {
	ticker := time.NewTicker(waitPeriod)
	defer ticker.Stop()
	lag := errors.New("no answer yet")
	for {
		list, err := client.Entries(ctx)
		var refusal *operator.Refusal
		switch {
		case errors.As(err, &refusal):
			return list, err
		case err == nil:
			if lag = lagging(list, revision); lag == nil {
				return list, nil
			}
		case ctx.Err() == nil:
			lag = err
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return list, fmt.Errorf("revision %d is not in force everywhere: %w", revision, lag)
		}
	}
}

// lagging returns an error that names the entries with lower revisions, nil for none.
func lagging(list operator.EntryList, revision int64) error {
	var names []string
	for _, entry := range list.Entries {
		if entry.Revision < revision {
			names = append(names, fmt.Sprintf("%s (at %d)", entry.Name, entry.Revision))
		}
	}
	if len(names) == 0 {
		return nil
	}
	return errors.New("lagging: " + strings.Join(names, ", "))
}
