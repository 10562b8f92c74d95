package share_test

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/pipe/share"
)

const (
	// storeTimeout is how long a read of the store may take, as at the platform's client.
	storeTimeout = 1500 * time.Millisecond
	// messageBytes is the size of a message without the store's data, and serverBytes that of a server in a difference.
	messageBytes = 2000
	serverBytes  = 80
)

// bandwidth is an entry's link, which transmits one message after the other.
type bandwidth struct {
	bytesPerSecond float64
	mutex          sync.Mutex
	// busyUntil is the time up to which messages take the link.
	busyUntil time.Time
}

// transmit waits until a number of bytes has passed the link. One that ctx ends has taken the link until then, since its
// bytes have been sent.
func (bandwidth *bandwidth) transmit(ctx context.Context, bytes int) error {
	deadline, limited := ctx.Deadline()
	if !limited {
		return errors.New("a message without a time limit")
	}
	bandwidth.mutex.Lock()
	now := time.Now()
	if bandwidth.busyUntil.Before(now) {
		bandwidth.busyUntil = now
	}
	end := bandwidth.busyUntil.Add(time.Duration(float64(bytes) / bandwidth.bytesPerSecond * float64(time.Second)))
	cut := end.After(deadline)
	if cut {
		end = deadline
	}
	if end.After(bandwidth.busyUntil) {
		bandwidth.busyUntil = end
	}
	bandwidth.mutex.Unlock()
	time.Sleep(time.Until(end))
	if cut {
		return context.DeadlineExceeded
	}
	return nil
}

// transmit waits until a message with these reads of the store has passed the links of its sender and its receiver.
func (network network) transmit(ctx context.Context, from, to string, reads ...share.CachedRead) error {
	if network.bandwidths[from] == nil {
		return nil
	}
	bytes := messageBytes
	for _, read := range reads {
		bytes += transmittedBytes(read)
	}
	if err := network.bandwidths[from].transmit(ctx, bytes); err != nil {
		return err
	}
	return network.bandwidths[to].transmit(ctx, bytes)
}

// transmittedBytes returns the size of what a message has of a read of the store.
func transmittedBytes(read share.CachedRead) int {
	bytes := len(read.Content) + len(read.Packed)
	if read.Delta != nil {
		bytes += serverBytes * read.Delta.Size()
	}
	return bytes
}
