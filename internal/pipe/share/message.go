package share

import (
	"context"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/neighbour"
)

// Statement is what an entry tells a peer.
type Statement struct {
	Sender neighbour.Record
	// Reports tells that the sender reports to the receiver.
	Reports bool
	// Groups is the sender's own group, if it is a relay.
	Groups []neighbour.Group
	// Usage is what the sender counted, and what others counted for the holder of the duty.
	Usage []neighbour.Usage
	// Rolls are the entries that others named to a sender that reports.
	Rolls []neighbour.Roll
	// Rosters tells which members the receiver need not tell.
	Rosters []neighbour.Roster
	Routes  Holding
	Servers Holding
}

// Reply is what the peer tells in return.
type Reply struct {
	// Replier has no sums of its own calls, which are in the groups.
	Replier neighbour.Record
	// Groups are the sums of all others for a sender that reports, and the replier's own group for others.
	Groups []neighbour.Group
	// Rolls names the entries that the replier knows, to a sender that may know other relays.
	Rolls []neighbour.Roll
	// Roster is the digest of the members that the replier knows of the sender's group.
	Roster  uint64
	Routes  Holding
	Servers Holding
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
