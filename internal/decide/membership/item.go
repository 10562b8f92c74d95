package membership

import "time"

// Kind says what an item is about.
type Kind string

// The kinds of items.
const (
	// KindMember is the origin's own record, in Item.Member.
	KindMember Kind = "Member"
	// KindClaim is the origin's doubt about another entry, in Item.Member.
	KindClaim Kind = "Claim"
	// KindLoad is the slowness of a backend server as the origin saw it.
	KindLoad Kind = "Load"
	// KindDemand is the demand per client account at the origin.
	KindDemand Kind = "Demand"
	// KindSuspect is a request suspected of crashing backend servers, by fingerprint.
	KindSuspect Kind = "Suspect"
	// KindLeaving is a leaving backend server, by name and incarnation.
	KindLeaving Kind = "Leaving"
	// KindRevision is the configuration revision in force at the origin.
	KindRevision Kind = "Revision"
)

// Item is one small versioned value stated by one origin.
type Item struct {
	Kind Kind
	Key  string
	// Version is the number that the origin gave to this statement.
	Version uint64
	Payload []byte
	// Member is set for [KindMember] and [KindClaim] only, and must not be written to.
	Member *Member
	// Expires is when the item ceases to hold, in seconds since the Unix epoch,
	// and 0 for an item that holds as long as its origin.
	Expires int64
}

// Urgent reports whether items of the kind are sent ahead as rumours.
func (kind Kind) Urgent() bool {
	switch kind {
	case KindMember, KindClaim, KindSuspect, KindLeaving:
		return true
	}
	return false
}

// Expired reports whether the item has ceased to hold.
func (item Item) Expired(now time.Time) bool {
	return item.Expires != 0 && item.Expires <= now.Unix()
}

func (item Item) same(other Item) bool {
	return item.Kind == other.Kind && item.Key == other.Key
}
