package membership

import "time"

// Kind is the type of an item's content.
type Kind string

// The kinds of items.
const (
	// KindMember is the origin's own membership record, in [Item.Member].
	KindMember Kind = "Member"
	// KindClaim is the origin's claim that another entry is suspect, in [Item.Member].
	KindClaim Kind = "Claim"
	// KindLoad is the slowdown of a backend server as measured by the origin.
	KindLoad Kind = "Load"
	// KindDemand is the demand of a client account at the origin, in requests per second.
	KindDemand Kind = "Demand"
	// KindSuspectRequest is a request suspected of crashing backend servers, by fingerprint.
	KindSuspectRequest Kind = "Suspect"
	// KindLeavingServer is a leaving backend server, by name and incarnation.
	KindLeavingServer Kind = "Leaving"
	// KindRevision is the configuration revision in force at the origin.
	KindRevision Kind = "Revision"
)

// Item is one small versioned value published by one origin.
type Item struct {
	Kind Kind
	// Key identifies the item among those of its origin and kind, such as a server name; it may be empty.
	Key string
	// Version is the number that the origin gave this item; each item that it publishes gets the next one.
	Version uint64
	// Payload is the encoded content, empty for a kind whose content is in Key or Member.
	Payload []byte
	// Member is set for [KindMember] and [KindClaim] only, and must not be modified.
	Member *Member
	// Expires is when the item expires, in seconds since the Unix epoch, and 0 for
	// an item that stays valid until its origin is gone.
	Expires int64
}

// Urgent reports whether items of the kind are sent ahead of the exchange of versions.
func (kind Kind) Urgent() bool {
	switch kind {
	case KindMember, KindClaim, KindSuspectRequest, KindLeavingServer:
		return true
	}
	return false
}

// Expired reports whether the item's expiry time has passed.
func (item Item) Expired(now time.Time) bool {
	return item.Expires != 0 && item.Expires <= now.Unix()
}

func (item Item) sameKey(other Item) bool {
	return item.Kind == other.Kind && item.Key == other.Key
}
