package share

import (
	"context"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/cluster"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
)

// StateMessage is the state that an entry sends to a peer.
type StateMessage struct {
	Sender cluster.EntryState
	// IsHeartbeat reports that the sender uses the receiver as its aggregator.
	IsHeartbeat bool
	// IsPush reports that the message only passes on what the sender has received of the store, and that the reply needs
	// only what the replier has.
	IsPush bool
	// Aggregates contains the sender's own aggregate, if it is an aggregator or has received heartbeats.
	Aggregates []cluster.Aggregate
	// Usage contains, in some rounds, the sender's usage counts, and those of other entries if the
	// receiver is the leader.
	Usage []cluster.Usage
	// MemberLists contains, in a heartbeat, the lists of live entries that the sender received from others.
	MemberLists []cluster.MemberList
	// MemberDigests identifies the members that the sender already has, so that the reply omits them.
	MemberDigests []cluster.MemberDigest
	// Routes is the sender's copy of the configuration, and Servers that of the list of servers.
	Routes  CachedRead
	Servers CachedRead
}

// Reply is a peer's response to a [StateMessage].
type Reply struct {
	// Replier is the peer's own state without the counts of its calls, which are part of Aggregates.
	Replier cluster.EntryState
	// Aggregates contains the sums over all other entries in the reply to a heartbeat, and otherwise
	// the replier's own aggregate.
	Aggregates []cluster.Aggregate
	// MemberLists contains the replier's list of live entries, for a sender that may have other aggregators.
	MemberLists []cluster.MemberList
	// MemberDigest is the digest of the members of the sender's aggregate that the replier already has.
	MemberDigest uint64
	// Routes is the replier's copy of the configuration, and Servers that of the list of servers.
	Routes  CachedRead
	Servers CachedRead
}

// maxInlineBytes is the size of packed content up to which it is part of messages that also carry the states of entries. A
// link of 10 Mbit/s transmits it in 13 ms.
const maxInlineBytes = 16 << 10

// CachedRead is an entry's copy of one part of the store, as it is sent to peers.
type CachedRead struct {
	// Revision is the store's revision at the read, 0 if the part has not been read.
	Revision int64
	// Age is the time since the content was last confirmed to be the latest.
	Age time.Duration
	// Digest is the xxhash of the content.
	Digest uint64
	// Content is nil if the receiver already has it, or can compute it from Packed or Delta.
	Content []byte
	// Packed is the compressed content, nil for none. If PackedBase is not 0, the receiver needs the content with that
	// digest to unpack it.
	Packed     []byte
	PackedBase uint64
	// Delta is the difference between the list of servers with the digest DeltaBase, which the receiver has, and
	// this one; it is nil for none.
	Delta     *directory.Delta
	DeltaBase uint64
}

// hasContent reports whether the receiver gets the content, as a whole or as a difference.
func (read CachedRead) hasContent() bool {
	return read.Content != nil || read.Packed != nil || read.Delta != nil
}

// withoutContent returns the read with its revision, age and digest only.
func (read CachedRead) withoutContent() CachedRead {
	return CachedRead{Revision: read.Revision, Age: read.Age, Digest: read.Digest}
}

// inline returns the read for a message that has to arrive in time, and reports whether it is without its content since that
// is too long. Such content is sent in a message of its own.
func (read CachedRead) inline() (CachedRead, bool) {
	if read.contentBytes() <= maxInlineBytes {
		return read, false
	}
	return read.withoutContent(), true
}

// contentBytes returns the size of the content, 0 for none. A difference counts as nothing, since it is short.
func (read CachedRead) contentBytes() int { return len(read.Content) + len(read.Packed) }

// PeerClient sends state messages to peers.
type PeerClient interface {
	// Exchange sends a message to the peer at address ("IP:port") and returns its reply.
	Exchange(ctx context.Context, address string, message StateMessage) (Reply, error)
}
