package booking_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	fakekv "github.com/rosemaryspar/rosemaryspar/internal/fake/kv"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/booking"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/kv"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/kvlog"
)

// Guards against faults that tests in virtual time miss: the ledger runs over TCP on the real
// client and log, and the fake key-value service loses answers.
func TestOrdersOverLoopback(t *testing.T) {
	const entries, keys = 2, 20
	server, err := fakekv.Start("127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	target := newService()
	var running, orders sync.WaitGroup
	var ledgers []*booking.Ledger
	var clients []*kv.Client
	for index := range entries {
		settings := kv.DefaultSettings(server.Address())
		settings.CallsPerSecond = 1000
		client := kv.New(settings)
		ledger := booking.New(booking.DefaultSettings(fmt.Sprintf("entry%d", index)), nil, func(shard int) booking.Log {
			return kvlog.New(client, fmt.Sprintf("bookings/%d", shard))
		})
		clients, ledgers = append(clients, client), append(ledgers, ledger)
		running.Go(func() { _ = ledger.Run(ctx) })
	}
	server.Inject(func(faults fakekv.Faults) fakekv.Faults { return faults.WithLostAnswers(5) })
	for number := range entries * keys {
		orders.Go(func() {
			key := fmt.Sprint(number % keys)
			sender := &sender{service: target, key: key, random: rand.New(rand.NewPCG(1, uint64(number))), crashed: new(atomic.Bool)}
			answer, err := ledgers[number/keys].Execute(ctx, order(key, "b", 20*time.Second), sender)
			assert.NoError(t, err)
			assert.Equal(t, key+" run 1", string(answer.Body))
		})
	}
	orders.Wait()
	cancel()
	running.Wait()
	for _, client := range clients {
		client.Close()
	}
	require.NoError(t, server.Close())
}
