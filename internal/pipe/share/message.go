package share

import (
	"context"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/neighbour"
)

// Statement is what an entry tells a peer.
type Statement struct {
	Sender   neighbour.Record
	Versions []neighbour.Version
	Routes   Holding
	Servers  Holding
}

// Reply is what the peer tells in return.
type Reply struct {
	Neighbours []neighbour.Record
	Routes     Holding
	Servers    Holding
}

// Holding is what an entry knows of a part of the store.
type Holding struct {
	// Revision is the store's revision at the read, 0 for none.
	Revision int64
	// Age is the time since the content was known to be the newest.
	Age time.Duration
	// Digest tells contents apart.
	Digest uint64
	// Content is nil where the receiver has it already.
	Content []byte
}

// Exchanger passes statements to peers.
type Exchanger interface {
	Exchange(ctx context.Context, address string, statement Statement) (Reply, error)
}
