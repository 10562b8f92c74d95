package booking

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/booking"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/kvlog"
)

// Log is the numbered log of one shard.
type Log interface {
	// Append commits a log entry under its number. It returns a [*kvlog.ConflictError]
	// or [kvlog.ErrNumberTruncated] if the number is not available, a [*kvlog.UncertainError] if
	// the write may still take effect, or another error if nothing was written.
	Append(ctx context.Context, entry kvlog.Entry) error
	// Read returns the log entries from number on, or a [*kvlog.TruncatedError] if some of them were truncated.
	Read(ctx context.Context, number int64) (kvlog.Tail, error)
	// Truncate removes the log entries up to and including the number through.
	Truncate(ctx context.Context, through int64) error
}

// Settings configures a ledger; Shards and ShardSettings must be equal at all entries.
type Settings struct {
	// HolderID identifies this incarnation of the entry and is never reused by another process.
	HolderID string
	// Shards is the number of shards, each with a log of its own.
	Shards int
	// ShardSettings configures the records of each shard.
	ShardSettings booking.Settings
	// BatchDelay is how long a batch waits for more changes after its first change.
	BatchDelay time.Duration
	// BatchBytes bounds the total size of the answers in one batch, and of each answer, in bytes.
	// Encoded as base64 beside a full batch of intents, the answers stay under the store's limit of 1 MB.
	BatchBytes int
	// AppendTimeout bounds one append and one read of the log.
	AppendTimeout time.Duration
	// ReplyMargin is how long before its deadline an order without a committed intent is abandoned.
	ReplyMargin time.Duration
	// PollMin and PollMax bound the back-off between checks of an order that another attempt has in progress.
	PollMin, PollMax time.Duration
	// HolderGrace is how long another entry's intent may stay without an outcome before the
	// outcome is treated as unknown.
	HolderGrace time.Duration
	// TruncateInterval is the time between attempts to truncate the log of a shard in use.
	TruncateInterval time.Duration
	// TruncateEntries is the number of log entries that must have become unnecessary before they
	// are truncated.
	TruncateEntries int64
}

// DefaultSettings returns the production settings for the entry with the given [Settings.HolderID].
//
// Few shards and a delay of 20 ms let batches form at 100 orders a second. The
// store answers within milliseconds, so the delay is most of the commit latency.
func DefaultSettings(holderID string) Settings {
	return Settings{
		HolderID: holderID, Shards: 4, ShardSettings: booking.DefaultSettings(),
		BatchDelay: 20 * time.Millisecond, BatchBytes: 384 << 10, AppendTimeout: 2 * time.Second,
		ReplyMargin: 100 * time.Millisecond, PollMin: 50 * time.Millisecond, PollMax: 2 * time.Second,
		HolderGrace: 10 * time.Second, TruncateInterval: 10 * time.Minute, TruncateEntries: 1000,
	}
}

// Ledger executes orders for one entry and holds its copy of the records of all shards.
type Ledger struct {
	settings Settings
	leaders  ShardLeaders
	writers  []*writer
	attempts *rcu.Cell[attempts]
	serial   atomic.Int64
	stopped  chan struct{}
}

// New returns a ledger over the logs that open returns for each shard.
//
// Without leaders (nil), every order is executed by the entry that received it.
func New(settings Settings, leaders ShardLeaders, open func(shard int) Log) *Ledger {
	ledger := &Ledger{
		settings: settings, leaders: leaders,
		attempts: rcu.New(attempts{}), stopped: make(chan struct{}),
	}
	for shard := range settings.Shards {
		ledger.writers = append(ledger.writers, newWriter(ledger, shard, open(shard)))
	}
	return ledger
}

// Run commits batches until ctx ends; it must be called once.
//
// A graceful shutdown ends ctx only after the requests in progress have ended, so
// that their results are committed. Otherwise their outcomes stay unknown.
func (ledger *Ledger) Run(ctx context.Context) error {
	defer close(ledger.stopped)
	ended := make(chan struct{}, len(ledger.writers))
	for _, writer := range ledger.writers {
		go func() {
			writer.run(ctx)
			ended <- struct{}{}
		}()
	}
	for range ledger.writers {
		<-ended
	}
	return ctx.Err()
}

// Shard returns the state of a shard up to the last log entry that this process has read.
func (ledger *Ledger) Shard(index int) booking.Shard {
	return ledger.writers[index].state.Load()
}

func (ledger *Ledger) writerOf(key booking.Key) *writer {
	return ledger.writers[booking.ShardOf(key, len(ledger.writers))]
}

// nextID returns an identifier that is unique among the writes and attempts of all entries.
func (ledger *Ledger) nextID() string {
	return fmt.Sprintf("%s-%d", ledger.settings.HolderID, ledger.serial.Add(1))
}

// ShardLeaders forwards orders to the entries that lead their shards.
//
// Correctness does not depend on leaders, since every append is a compare-and-swap.
// They collect the orders of a shard at one entry, so that more orders share a write.
type ShardLeaders interface {
	// Forward sends an order to the shard's leader and returns the leader's result
	// with [ForwardAnswered]. With any other outcome this entry executes the order.
	Forward(ctx context.Context, shard int, order Order) (Result, ForwardOutcome)
	// HasEnded reports whether the process with a [Settings.HolderID] has certainly ended.
	HasEnded(holderID string) bool
}
