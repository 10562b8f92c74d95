package config_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	fakekv "github.com/rosemaryspar/rosemaryspar/internal/fake/kv"
	pipe "github.com/rosemaryspar/rosemaryspar/internal/pipe/config"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/kv"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/kvlog"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/document"
)

const layout = pipe.Layout("config")

var errCrash = errors.New("crashed")

// entry is the configuration part of one entry process.
type entry struct {
	set       *rcu.Cell[config.Set]
	history   *pipe.History
	log       *kvlog.Log
	committer *pipe.Committer
	loader    *pipe.Loader
}

func (entry *entry) Set() config.Set { return entry.set.Load() }

func (entry *entry) Usage() config.Usage { return config.Usage{} }

// load updates the entry to the latest revision in the key-value service.
func (entry *entry) load(t *testing.T) {
	t.Helper()
	loaded, err := entry.loader.Load(t.Context())
	require.NoError(t, err)
	entry.set.Store(loaded.Set)
}

// commit commits a change of backends that is based on the entry's set, and applies it.
func (entry *entry) commit(t *testing.T, backends ...config.Backend) {
	t.Helper()
	change := config.Change{ID: fmt.Sprint(entry.Set().Revision()), Backends: backends}.WithBase(entry.Set().Revision())
	_, err := entry.committer.Commit(t.Context(), "nolwenn", encode(t, change))
	require.NoError(t, err)
	entry.set.Update(func(set config.Set) config.Set { return set.WithChange(change) })
}

func startService(t *testing.T) (*fakekv.Server, *kv.Client) {
	t.Helper()
	server, err := fakekv.Start("127.0.0.1:0")
	require.NoError(t, err)
	settings := kv.DefaultSettings(server.Address())
	settings.Timeout, settings.CallsPerSecond, settings.Backoff = 200*time.Millisecond, 10_000, time.Millisecond
	client := kv.New(settings)
	t.Cleanup(func() {
		client.Close()
		require.NoError(t, server.Close())
	})
	return server, client
}

func newEntry(store kvlog.Store) *entry {
	entry := &entry{set: rcu.New(config.Set{}), history: pipe.NewHistory(), log: kvlog.New(store, layout.LogPrefix())}
	entry.committer = pipe.NewCommitter(entry.log, entry, entry, entry.history)
	entry.loader = pipe.NewLoader(store, entry.log, layout, entry.history)
	return entry
}

func backend(number, slots int) config.Backend {
	return config.Backend{
		Name: fmt.Sprintf("runner-%04d", number), Address: fmt.Sprintf("10.0.%d.%d:8000", number/250, number%250+1),
		Domain: "morlaix", Slots: slots, Labels: map[string]string{"role": "assistant", "class": "large"},
	}
}

func encode(t *testing.T, change config.Change) []byte {
	t.Helper()
	body, err := document.Encode(change)
	require.NoError(t, err)
	return body
}

func change(t *testing.T, id string, base int64, slots int) []byte {
	t.Helper()
	return encode(t, config.Change{ID: id, Backends: []config.Backend{backend(1, slots)}}.WithBase(base))
}

// Guards against two accepted changes with the same revision, and against a conflict error
// without the accepted change.
func TestOneOfTwoOperatorsWins(t *testing.T) {
	_, client := startService(t)
	entries := []*entry{newEntry(client), newEntry(client)}
	errs := make([]error, 2)
	var group sync.WaitGroup
	for i, entry := range entries {
		body := change(t, fmt.Sprint("id-", i), 0, i+1)
		group.Go(func() { _, errs[i] = entry.committer.Commit(t.Context(), fmt.Sprint("operator-", i), body) })
	}
	group.Wait()
	loser := 0
	if errs[0] == nil {
		loser = 1
	}
	require.NoError(t, errs[1-loser])
	var conflict *pipe.ConflictError
	require.ErrorAs(t, errs[loser], &conflict)
	assert.Equal(t, fmt.Sprint("operator-", 1-loser), conflict.Winner.Author)
	assert.Equal(t, 2-loser, conflict.Winner.Backends[0].Slots)
}

// Guards against answers from which the operator cannot tell whether the change was committed.
func TestCommitAnswers(t *testing.T) {
	_, client := startService(t)
	current, lagging := newEntry(client), newEntry(client)
	current.commit(t, backend(1, 1))
	current.commit(t, backend(2, 1))
	var conflict *pipe.ConflictError
	var rejected *pipe.RejectedError
	var outOfOrder *config.RevisionError
	var malformed *document.Error
	repeat := encode(t, config.Change{ID: "0", Backends: []config.Backend{backend(1, 1)}}.WithBase(0))
	cases := []struct {
		name  string
		entry *entry
		body  []byte
		want  any
	}{
		{"malformed", current, []byte("{"), &malformed},
		{"rejected", current, change(t, "x", 2, -1), &rejected},
		{"base too old", current, change(t, "x", 0, 2), &conflict},
		{"base too old at a lagging entry", lagging, change(t, "x", 1, 2), &conflict},
		{"same identifier, other change", current, change(t, "0", 0, 2), &conflict},
		{"base that does not exist yet", lagging, change(t, "x", 7, 2), &outOfOrder},
		{"repeat", current, repeat, nil},
		{"repeat after a restart", newEntry(client), repeat, nil},
		{"next at a lagging entry", lagging, change(t, "x", 2, 2), nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			receipt, err := c.entry.committer.Commit(t.Context(), "nolwenn", c.body)
			if c.want != nil {
				require.ErrorAs(t, err, c.want)
				return
			}
			require.NoError(t, err)
			assert.Equal(t, strings.HasPrefix(c.name, "repeat"), receipt.Repeat)
			assert.Equal(t, map[bool]int64{true: 1, false: 3}[receipt.Repeat], receipt.Revision)
		})
	}
}

// Guards against changes that are lost or committed twice when answers of the key-value service
// are lost.
func TestLostAnswersAreResolved(t *testing.T) {
	server, client := startService(t)
	entry := newEntry(client)
	server.Inject(func(faults fakekv.Faults) fakekv.Faults { return faults.WithLostAnswers(2) })
	receipt, err := entry.committer.Commit(t.Context(), "nolwenn", change(t, "a", 0, 1))
	require.NoError(t, err)
	assert.Equal(t, int64(1), receipt.Revision)
	entry.load(t)
	server.Inject(func(faults fakekv.Faults) fakekv.Faults { return faults.WithOut(true) })
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	var uncertain *pipe.UncertainError
	_, err = entry.committer.Commit(ctx, "nolwenn", change(t, "b", 1, 2))
	require.ErrorAs(t, err, &uncertain)
	server.Inject(func(faults fakekv.Faults) fakekv.Faults { return faults.WithOut(false) })
	receipt, err = entry.committer.Commit(t.Context(), "nolwenn", change(t, "b", 1, 2))
	require.NoError(t, err)
	assert.Equal(t, int64(2), receipt.Revision)
}
