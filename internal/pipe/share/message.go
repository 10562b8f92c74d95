package share

import (
	"context"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/neighbour"
)

// StateMessage is the state that an entry sends to a peer.
type Statement struct {
	Sender neighbour.Record
	// IsHeartbeat reports that the sender uses the receiver as its aggregator.
	Reports bool
	// Aggregates contains the sender's own aggregate, if it is an aggregator.
	Groups []neighbour.Group
	// Usage contains the sender's usage counts, and those of other entries if the receiver is the leader.
	Usage []neighbour.Usage
	// MemberLists contains, in a heartbeat, the lists of live entries that the sender received from others.
	Rolls []neighbour.Roll
	// MemberDigests identifies the members that the sender already has, so that the reply omits them.
	Rosters []neighbour.Roster
	Routes  Holding
	Servers Holding
}

// Reply is a peer's response to a [StateMessage].
type Reply struct {
	// Replier is the peer's own state without the counts of its calls, which are part of Aggregates.
	Replier neighbour.Record
	// Aggregates contains the sums over all other entries in the reply to a heartbeat, and otherwise
	// the replier's own aggregate.
	Groups []neighbour.Group
	// MemberLists contains the replier's list of live entries, for a sender that may have other aggregators.
	Rolls []neighbour.Roll
	// MemberDigest is the digest of the members of the sender's aggregate that the replier already has.
	Roster  uint64
	Routes  Holding
	Servers Holding
}

// CachedRead is an entry's copy of one part of the store, as it is sent to peers.
type Holding struct {
	// Revision is the store's revision at the read, 0 if the part has not been read.
	Revision int64
	// Age is the time since the content was last known to be the latest.
	Age time.Duration
	// Digest is the xxhash of the content.
	Digest uint64
	// Content is nil if the receiver already has it.
	Content []byte
}

// PeerClient sends state messages to peers.
type Exchanger interface {
	// Exchange sends a message to the peer at address ("IP:port") and returns its reply.
	Exchange(ctx context.Context, address string, message Statement) (Reply, error)
}
