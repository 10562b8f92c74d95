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

// Log is a shard's log.
type Log interface {
	// Append commits an entry under a number, or returns a [*kvlog.ConflictError],
	// [kvlog.ErrVoid], a [*kvlog.UnsureError] if it may still take effect, or
	// another error if it was not written.
	Append(ctx context.Context, entry kvlog.Entry) error
	// Read returns the entries from a number on, or a [*kvlog.TruncatedError].
	Read(ctx context.Context, number int64) (kvlog.Tail, error)
	// Truncate removes the entries up to a number.
	Truncate(ctx context.Context, through int64) error
}

// Settings describe a ledger; Shards and Keep must be equal at all entries.
type Settings struct {
	// Holder is the incarnation of this entry, never used by another process.
	Holder        string
	Shards        int
	ShardSettings booking.Settings
	// BatchDelay is how long a batch waits for more changes after its first.
	BatchDelay time.Duration
	// BatchBytes bounds the answers in one batch, and each answer, in bytes.
	// Encoded as base64 beside a full batch of intents, they stay under the store's 1 MB.
	BatchBytes int
	// AppendTimeout bounds one append and one read of the log.
	AppendTimeout time.Duration
	// ReplyMargin is how long before its deadline an order without intent is given up.
	ReplyMargin time.Duration
	// PollMin and PollMax bound the wait between looks at another entry's order.
	PollMin, PollMax time.Duration
	// HolderGrace is how long another entry's intent stands before its outcome is taken as unknown.
	HolderGrace time.Duration
	// TruncateInterval is the time between truncations of the shards in use.
	TruncateInterval time.Duration
	// TruncateEntries is how many entries must hold nothing that still counts before they are truncated.
	TruncateEntries int64
}

// DefaultSettings returns the settings for a holder.
//
// Few shards and a delay of 20 ms let groups form at 100 orders a second; the
// store answers in milliseconds, so the delay is most of what a commit takes.
func DefaultSettings(holder string) Settings {
	return Settings{
		Holder: holder, Shards: 4, ShardSettings: booking.DefaultSettings(),
		BatchDelay: 20 * time.Millisecond, BatchBytes: 384 << 10, AppendTimeout: 2 * time.Second,
		ReplyMargin: 100 * time.Millisecond, PollMin: 50 * time.Millisecond, PollMax: 2 * time.Second,
		HolderGrace: 10 * time.Second, TruncateInterval: 10 * time.Minute, TruncateEntries: 1000,
	}
}

// Ledger holds the bookings of all shards at one entry.
type Ledger struct {
	settings Settings
	leaders  ShardLeaders
	writers  []*writer
	attempts *rcu.Cell[attempts]
	serial   atomic.Int64
	stopped  chan struct{}
}

// New returns a ledger over the logs that open gives for each shard; leaders may be nil.
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
// A graceful shutdown ends ctx after the requests in progress, whose results
// are committed here; without that they stay unknown.
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

// Shard returns the current state of a shard, as far as this entry has read it.
func (ledger *Ledger) Shard(index int) booking.Shard {
	return ledger.writers[index].state.Load()
}

func (ledger *Ledger) writerOf(key booking.Key) *writer {
	return ledger.writers[booking.ShardOf(key, len(ledger.writers))]
}

// identifier returns a name that no other write or attempt has.
func (ledger *Ledger) identifier() string {
	return fmt.Sprintf("%s-%d", ledger.settings.Holder, ledger.serial.Add(1))
}

// ShardLeaders knows which entry leads a shard and how to reach it.
//
// Orders are safe without it, since every append is a compare-and-swap; it
// brings the orders of a shard together, so that more of them share a write.
type ShardLeaders interface {
	// Forward passes an order to the shard's leader and returns its answer, with
	// [ForwardAnswered]. Otherwise the order goes on here.
	Forward(ctx context.Context, shard int, order Order) (Result, ForwardOutcome)
	// Gone reports whether the process of a holder is known to have ended.
	Gone(holder string) bool
}
