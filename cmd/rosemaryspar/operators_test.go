package main_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/process"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/document"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/operator"
)

// inForceTimeout is the time within which an accepted change must be in force at every entry.
const inForceTimeout = 8 * time.Second

// Guards against a lost or divergent change when two operators change the same revision at two entries at
// the same time. One change must be accepted, the refusal of the other must contain the
// accepted change, and all entries must end with the same documents.
func TestOneOfTwoOperatorsWinsAtEveryEntry(t *testing.T) {
	const rounds = 20
	fleet := newFleet(t, layout{})
	winningTimeoutMs := 0
	for round := range rounds {
		base := int64(round + 1)
		results := make(chan error, 2)
		for entry := range 2 {
			go func() { results <- fleet.commit(t.Context(), entry, base, 1000+10*round+entry) }()
		}
		var refusals []*operator.Refusal
		for range 2 {
			err := <-results
			var refusal *operator.Refusal
			if errors.As(err, &refusal) {
				refusals = append(refusals, refusal)
				continue
			}
			require.NoError(t, err)
		}
		require.Len(t, refusals, 1, "round %d", round)
		require.Equal(t, http.StatusConflict, refusals[0].Status, refusals[0].Message)
		winningChange, err := document.Decode(refusals[0].Winner)
		require.NoError(t, err)
		winningTimeoutMs = winningChange.Services[0].TimeoutMs
	}
	fleet.awaitRevision(t, rounds+1, 0, 1, 2)
	expected := fleet.configuration(t, 0)
	for entry := range fleet.entries {
		got := fleet.configuration(t, entry)
		assert.Equal(t, expected.Set(), got.Set())
		stock, found := got.Set().Service("stock")
		require.True(t, found)
		assert.Equal(t, winningTimeoutMs, stock.TimeoutMs)
	}
}

// commit commits a change of the timeout of the stock service, based on a revision.
func (fleet *fleet) commit(ctx context.Context, entry int, base int64, timeoutMs int) error {
	stock := config.Service{
		Name: "stock", Protocol: config.ProtocolPlain, Repeat: config.RepeatIdempotent,
		Selector: "role=orders", TimeoutMs: timeoutMs,
	}
	body, err := document.Encode(config.Change{Services: []config.Service{stock}}.
		WithBase(base).WithID(fmt.Sprintf("%d-%d", base, timeoutMs)))
	if err != nil {
		return err
	}
	_, err = fleet.operator(entry).Commit(ctx, body)
	return err
}

// operator returns a client of an entry's front end for operators.
func (fleet *fleet) operator(entry int) *operator.Client {
	return operator.NewClient(fleet.entries[entry].Addresses["OperatorAddress"], operatorKey)
}

// configuration returns the configuration in force at an entry.
func (fleet *fleet) configuration(t *testing.T, entry int) operator.Configuration {
	t.Helper()
	configuration, err := fleet.operator(entry).Config(t.Context())
	require.NoError(t, err)
	return configuration
}

// awaitRevision waits until entries have a revision in force. It fails the test after inForceTimeout, and if one
// of them reverted to an older revision.
func (fleet *fleet) awaitRevision(t *testing.T, revision int64, entries ...int) {
	t.Helper()
	for _, entry := range entries {
		require.Eventually(t, func() bool {
			configuration, err := fleet.operator(entry).Config(t.Context())
			return err == nil && configuration.Revision >= revision
		}, inForceTimeout, pollInterval, "revision %d is not in force at entry %d", revision, entry)
		logged := revisionsInForce(fleet.entries[entry])
		assert.IsIncreasing(t, logged, "entry %d reverted to an older revision", entry)
	}
}

// revisionsInForce returns the revisions that an entry logged as in force. Polling would miss a revision that was
// in force only briefly.
func revisionsInForce(entry *process.Process) []int64 {
	var revisions []int64
	for _, line := range entry.Lines() {
		var logged struct {
			Message  string
			Revision int64
		}
		if json.Unmarshal([]byte(line), &logged) == nil && logged.Message == "configuration in force" {
			revisions = append(revisions, logged.Revision)
		}
	}
	return revisions
}
