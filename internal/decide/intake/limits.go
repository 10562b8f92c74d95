package intake

const (
	// ownShare is what one connection may hold, as a fraction of the bound, if others are to be closed for it. Without it, one large request
	// would close all others.
	ownShare = 0.25
	// endedShare is the memory of what has ended, as a fraction of the bound, in addition to the bound.
	endedShare = 0.25
)

// Limits bound what all connections of clients together hold.
type Limits struct {
	// Bytes is the memory in bytes.
	Bytes int64
	// Descriptors is the number of connections, with one more for the server of each call in progress.
	Descriptors int64
}

// Excess returns what must be given back of some bytes and descriptors; its numbers are negative where there is room.
func (limits Limits) Excess(bytes, descriptors int64) Excess {
	return Excess{Bytes: bytes - limits.Bytes, Descriptors: descriptors - limits.Descriptors}
}

// ExceededByEnded reports whether the memory of requests and connections that have ended, and that is not free yet, leaves no room beside
// some bytes that the connections hold.
func (limits Limits) ExceededByEnded(bytes, ended int64) bool {
	return ended > 0 && bytes+ended > limits.Bytes+int64(float64(limits.Bytes)*endedShare)
}

// MayDisplace reports whether other connections may be closed, to give back an excess, for one that would hold some bytes.
func (limits Limits) MayDisplace(bytes int64, excess Excess) bool {
	return excess.Bytes <= 0 || bytes <= int64(ownShare*float64(limits.Bytes))
}
