package slopes

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/pause"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/kv"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/process"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/document"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/operator"
)

const (
	callerKey   = "slopes-caller"
	operatorKey = "slopes-operator"
	// settleDelay is the time after a start in which an entry loads the configuration and frees unused memory.
	settleDelay = time.Second
)

// fleet is a set of entries that share one key-value service, which no other fleet uses.
type fleet struct {
	programs process.Programs
	store    *kv.Server
	entries  []*process.Process
}

// newFleet starts entries and commits a configuration: one client account, the bench's services and
// backend servers, and the accounts and backends in extra.
func (bench *bench) newFleet(ctx context.Context, entries int, extra config.Change) (*fleet, error) {
	store, err := kv.Start("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	fleet := &fleet{programs: bench.programs, store: store}
	if err := fleet.configure(ctx, entries, bench.servers.change, extra); err != nil {
		fleet.close(ctx)
		return nil, err
	}
	return fleet, nil
}

// configure starts entries and commits change with the accounts and backends in extra as their first revision.
func (fleet *fleet) configure(ctx context.Context, entries int, change, extra config.Change) error {
	for range entries {
		if _, err := fleet.add(); err != nil {
			return err
		}
	}
	change.Accounts = append([]config.Account{{Name: "desk", KeyHash: hash(callerKey), Weight: 1}}, extra.Accounts...)
	change.Backends = append(append([]config.Backend(nil), change.Backends...), extra.Backends...)
	if err := fleet.commit(ctx, 0, change); err != nil {
		return err
	}
	return pause.For(ctx, settleDelay)
}

// add starts one more entry; every entry but the first is configured with the first one as a peer.
func (fleet *fleet) add() (*process.Process, error) {
	number := len(fleet.entries)
	arguments := []string{
		"serve", "--name", fmt.Sprintf("entry-%d", number), "--domain", "quimper",
		"--caller-address", "127.0.0.1:0", "--operator-address", "127.0.0.1:0", "--peer-address", "127.0.0.1:0",
		"--kv-addresses", fleet.store.Address(), "--kv-calls-per-second", "500", "--operators", "ops=" + hash(operatorKey),
	}
	if number > 0 {
		arguments = append(arguments, "--peers", "entry-0="+fleet.entries[0].Addresses["PeerAddress"])
	}
	entry, err := fleet.programs.Start("rosemaryspar", arguments...)
	if err == nil {
		fleet.entries = append(fleet.entries, entry)
	}
	return entry, err
}

// commit commits a change on top of revision base at the first entry.
func (fleet *fleet) commit(ctx context.Context, base int64, change config.Change) error {
	body, err := document.Encode(change.WithBase(base).WithID(fmt.Sprintf("slopes-%d", base)))
	if err != nil {
		return err
	}
	_, err = operator.NewClient(fleet.entries[0].Addresses["OperatorAddress"], operatorKey).Commit(ctx, body)
	return err
}

func (fleet *fleet) close(ctx context.Context) {
	for _, entry := range fleet.entries {
		entry.Kill()
	}
	_ = fleet.store.Shutdown(ctx)
}

func (fleet *fleet) callerAddress() string { return fleet.entries[0].Addresses["CallerAddress"] }

func hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// idleBackends returns a change with documents of backend servers that no service selects.
func idleBackends(count int) config.Change {
	change := config.Change{}
	for number := range count {
		change.Backends = append(change.Backends, config.Backend{
			Name: fmt.Sprintf("runner-vannes-%04d", number), Address: fmt.Sprintf("10.0.%d.%d:8000", number/250, number%250),
			Domain: "vannes", Slots: 8, Labels: map[string]string{"role": "assistant-large", "class": "reclaimable", "model": "menu-7"},
		})
	}
	return change
}

// idleAccounts returns a change with documents of client accounts that send no requests.
func idleAccounts(count int) config.Change {
	change := config.Change{}
	for number := range count {
		name := fmt.Sprintf("account-%04d", number)
		change.Accounts = append(change.Accounts, config.Account{
			Name: name, KeyHash: hash(name), Weight: 1, Concurrency: 20, RequestsPerSecond: 5,
			Labels: map[string]string{"country": "my", "tier": strings.Repeat("a", 4)},
		})
	}
	return change
}
