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
	// defaultWaitTimeout exceeds the 8 s within which a change must be in force at every entry.
	defaultWaitTimeout = 30 * time.Second
	// pollInterval is the time between two reads of the list of entries.
	pollInterval = 250 * time.Millisecond
)

// configWaitCommand waits until a revision is in force at every entry.
type configWaitCommand struct {
	connection
	revision string
	timeout  time.Duration
}

func (configWaitCommand *configWaitCommand) declare(subcommand *flaggy.Subcommand) {
	configWaitCommand.connection.declare(subcommand)
	configWaitCommand.timeout = defaultWaitTimeout
	subcommand.Duration(&configWaitCommand.timeout, "", "timeout", "maximum time to wait")
	subcommand.AddPositionalValue(&configWaitCommand.revision, "REVISION", 1, false, "revision printed by config apply")
}

func (configWaitCommand *configWaitCommand) run(ctx context.Context, streams Streams) error {
	client, err := configWaitCommand.client(streams)
	if err != nil {
		return err
	}
	revision, err := strconv.ParseInt(configWaitCommand.revision, 10, 64)
	if err != nil || revision < 0 {
		return usageErrorf("REVISION: %q is not allowed, must be a revision number, 0 or more", configWaitCommand.revision)
	}
	ctx, cancel := context.WithTimeout(ctx, configWaitCommand.timeout)
	defer cancel()
	list, err := awaitRevision(ctx, client, revision)
	if err != nil {
		return err
	}
	return configWaitCommand.print(streams, list, func(rows io.Writer) {
		fmt.Fprintf(rows, "revision %d is in force at all entries (%d)\n", revision, len(list.Entries))
	})
}

// awaitRevision polls the list of entries until all have the revision in force or a newer one.
//
// If ctx ends first, the error lists the entries with an older revision, or contains the
// last failure to read the list. A refusal by the entry is returned at once.
func awaitRevision(ctx context.Context, client *operator.Client, revision int64) (operator.EntryList, error) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	cause := errors.New("the list of entries was not received")
	for {
		list, err := client.Entries(ctx)
		var refusal *operator.Refusal
		switch {
		case errors.As(err, &refusal):
			return list, err
		case err == nil:
			if cause = checkRevisions(list, revision); cause == nil {
				return list, nil
			}
		case ctx.Err() == nil:
			cause = err
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return list, fmt.Errorf("revision %d is not in force everywhere: %w", revision, cause)
		}
	}
}

// checkRevisions returns an error that lists the entries with an older revision, or nil if there are none.
func checkRevisions(list operator.EntryList, revision int64) error {
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
