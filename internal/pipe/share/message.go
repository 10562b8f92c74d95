package share

import (
	"context"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/cluster"
)

// StateMessage is what an entry tells a peer.
type StateMessage struct {
	Sender cluster.EntryState
	// IsHeartbeat tells that the sender reports to the receiver.
	IsHeartbeat bool
	// Aggregates is the sender's own group, if it is a relay.
	Aggregates []cluster.Aggregate
	// Usage is what the sender counted, and what others counted for the holder of the duty.
	Usage []cluster.Usage
	// MemberLists are the entries that others named to a sender that reports.
	MemberLists []cluster.MemberList
	// MemberDigests tells which members the receiver need not tell.
	MemberDigests []cluster.MemberDigest
	Routes        CachedRead
	Servers       CachedRead
}

// Reply is what the peer tells in return.
type Reply struct {
	// Replier has no sums of its own calls, which are in the groups.
	Replier cluster.EntryState
	// Aggregates are the sums of all others for a sender that reports, and the replier's own group for others.
	Aggregates []cluster.Aggregate
	// MemberLists names the entries that the replier knows, to a sender that may know other relays.
	MemberLists []cluster.MemberList
	// MemberDigest is the digest of the members that the replier knows of the sender's group.
	MemberDigest uint64
	Routes       CachedRead
	Servers      CachedRead
}

// CachedRead is what an entry knows of a part of the store.
type CachedRead struct {
	// Revision is the store's revision at the read, 0 for none.
	Revision int64
	// Age is the time since the content was known to be the newest.
	Age time.Duration
	// Digest tells contents apart.
	Digest uint64
	// Content is nil where the receiver has it already.
	Content []byte
}

// PeerClient passes statements to peers.
type PeerClient interface {
	Exchange(ctx context.Context, address string, statement StateMessage) (Reply, error)
}
