package account

import "math"

const (
	// borrowFactor bounds the work that one entry has granted, as a multiple of its share.
	//
	// A strict share makes short work wait while servers are idle, since an entry sees
	// only its own part of a fleet-wide load that varies. Above its share an entry
	// lends itself slots that others may not be using; if they are, the work waits in
	// the engine behind all work within a share. Twice the share bounds that backlog
	// to one slot's turn.
	borrowFactor = 2
	// shortMargin is how many standard deviations of a Poisson number of short requests
	// the cap on long work leaves free beyond their mean.
	shortMargin = 3
	// minLongShare is the part of the slots that long work may always hold.
	minLongShare = 0.125
	// maxLongShare is the part of the slots that long work may hold at most.
	maxLongShare = 0.875
	// priorLongShare is the cap on long work before the mix was observed.
	priorLongShare = 0.5
)

// Partition is the part of the fleet that one entry may use: one of Entries equal parts.
type Partition struct {
	// Entries is the number of entries, at least 1.
	Entries int
	// Index is this entry's place among them, from 0.
	Index int
}

// Capacity is how much work one entry may have granted at backend servers.
type Capacity struct {
	// Share is the number of slots that this entry has a claim to.
	Share int
	// Borrowed is the number of slots that short work may use beyond the share.
	Borrowed int
	// Long is the number of slots that this entry's long work may hold.
	Long int
	// fleetLong is the number of slots that the long work of all entries may hold.
	fleetLong int
	slots     int // of the fleet
	entries   Partition
}

// NewCapacity divides the slots of all servers between the entries.
//
// Short is the mean number of slots that short work of all entries uses, negative if not yet observed.
func NewCapacity(slots int, share Partition, short float64) Capacity {
	share.Entries = max(1, share.Entries)
	total := float64(slots)
	long := priorLongShare * total
	if short >= 0 {
		long = total - short - shortMargin*math.Sqrt(short)
	}
	fleetLong := int(min(max(long, minLongShare*total), maxLongShare*total))
	own := part(slots, share)
	capacity := Capacity{Share: own, Borrowed: (borrowFactor - 1) * own, Long: part(fleetLong, share), fleetLong: fleetLong, slots: slots, entries: share}
	if slots > 0 {
		// With more entries than slots, each entry still gets one, so that none is shut out.
		capacity.Share, capacity.Long = max(1, own), max(1, capacity.Long)
	}
	return capacity
}

// NextLongSlot returns the layer of this entry's next long slot on one of several servers.
//
// Held is the number of its slots there that are taken; it returns false when no slot is left.
//
// The slots of the fleet are numbered in layers, one slot per server in each layer,
// and number i belongs to entry i modulo Entries; long work may use the first layers.
// Entries that see the same servers and the same mix thus keep to one cap per server
// without exchanging anything. Layers are rotated, so that an entry's slots do not
// fall on few servers.
func (capacity Capacity) NextLongSlot(server, servers, held int) (layer int, ok bool) {
	return capacity.next(server, servers, held, capacity.fleetLong)
}

// HasFreeSlot reports whether this entry has a slot left on a server where it holds that many.
func (capacity Capacity) HasFreeSlot(server, servers, held int) bool {
	_, ok := capacity.next(server, servers, held, capacity.slots)
	return ok
}

func (capacity Capacity) next(server, servers, held, slots int) (layer int, ok bool) {
	for layer := 0; layer*servers < slots; layer++ {
		place := ((server-layer)%servers + servers) % servers
		number := layer*servers + place
		if number >= slots || number%capacity.entries.Entries != capacity.entries.Index {
			continue
		}
		if held == 0 {
			return layer, true
		}
		held--
	}
	return 0, false
}

// part returns how many of the numbers below total belong to the entry.
func part(total int, share Partition) int {
	if total <= share.Index {
		return 0
	}
	return (total-share.Index-1)/share.Entries + 1
}
