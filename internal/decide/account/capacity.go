package account

import "math"

const (
	// borrowFactor bounds the slots that one entry has granted, as a multiple of its share.
	//
	// With a strict share, short work waits while servers are idle, because an entry sees
	// only its own part of a varying fleet-wide load. Beyond its share an entry borrows
	// slots that other entries might not be using; if they are in use, the work waits in the
	// engine behind all work within a share. A factor of 2 bounds that backlog to one
	// request for each slot.
	borrowFactor = 2
	// shortMargin is the number of standard deviations beyond the mean that the cap on
	// long work leaves free for short work, whose number of requests is taken to be
	// Poisson distributed.
	shortMargin = 3
	// minLongShare is the fraction of the slots that long work may always hold.
	minLongShare = 0.125
	// maxLongShare is the largest fraction of the slots that long work may hold.
	maxLongShare = 0.875
	// priorLongShare is the cap on long work, as a fraction of the slots, until enough
	// short work has been observed.
	priorLongShare = 0.5
)

// Partition identifies the part of the fleet's slots that one entry may use: one of as many
// equal parts as there are entries. The fleet is the set of all backend servers.
type Partition struct {
	// Entries is the number of entries, at least 1.
	Entries int
	// Index is this entry's position among them, from 0.
	Index int
}

// Capacity is the number of slots of the backend servers that one entry may grant.
type Capacity struct {
	// Share is the number of slots that belong to this entry.
	Share int
	// MaxBorrowed is the number of slots that short work may use beyond the share.
	MaxBorrowed int
	// MaxLong is the largest number of slots that this entry's long work may hold.
	MaxLong int
	// fleetLong is the largest number of slots that the long work of all entries may hold.
	fleetLong int
	// fleetSlots is the number of slots of all servers.
	fleetSlots int
	partition  Partition
}

// NewCapacity returns the capacity of one entry, given the number of slots of all servers
// and the entry's partition of them.
//
// MeanShort is the mean number of slots that the short work of all entries uses, negative
// while it has not been observed.
func NewCapacity(slots int, partition Partition, meanShort float64) Capacity {
	partition.Entries = max(1, partition.Entries)
	total := float64(slots)
	long := priorLongShare * total
	if meanShort >= 0 {
		long = total - meanShort - shortMargin*math.Sqrt(meanShort)
	}
	fleetLong := int(min(max(long, minLongShare*total), maxLongShare*total))
	shareSlots := partitionSize(slots, partition)
	capacity := Capacity{Share: shareSlots, MaxBorrowed: (borrowFactor - 1) * shareSlots, MaxLong: partitionSize(fleetLong, partition), fleetLong: fleetLong, fleetSlots: slots, partition: partition}
	if slots > 0 {
		// With more entries than slots, each entry still gets one, so that no entry is left without any.
		capacity.Share, capacity.MaxLong = max(1, shareSlots), max(1, capacity.MaxLong)
	}
	return capacity
}

// NextLongSlot returns the layer of this entry's next slot for long work on one server, or
// false when no slot is left.
//
// Server is the index of the server, from 0, among the given number of servers, and held
// is the number of this entry's slots there that are taken.
//
// The slots of the fleet are numbered in layers, one slot per server in each layer, and
// number i belongs to the entry with index i modulo Entries; long work may use the lowest
// numbers, up to the cap. Entries that see the same servers and the same share of short
// work thus respect one cap per server without communicating. Each layer is rotated by
// one server, so that an entry's slots are spread over the servers.
func (capacity Capacity) NextLongSlot(server, servers, held int) (layer int, ok bool) {
	return capacity.nextSlot(server, servers, held, capacity.fleetLong)
}

// HasFreeSlot reports whether this entry, of whose slots on a server held are taken, has
// another one there. Its parameters are those of [Capacity.NextLongSlot].
func (capacity Capacity) HasFreeSlot(server, servers, held int) bool {
	_, ok := capacity.nextSlot(server, servers, held, capacity.fleetSlots)
	return ok
}

// nextSlot returns the layer of this entry's next slot on a server among the fleet's slots with
// numbers below end.
func (capacity Capacity) nextSlot(server, servers, held, end int) (layer int, ok bool) {
	for layer := 0; layer*servers < end; layer++ {
		position := ((server-layer)%servers + servers) % servers
		number := layer*servers + position
		if number >= end || number%capacity.partition.Entries != capacity.partition.Index {
			continue
		}
		if held == 0 {
			return layer, true
		}
		held--
	}
	return 0, false
}

// partitionSize returns how many of the slots with numbers from 0 to total-1 belong to the partition.
func partitionSize(total int, partition Partition) int {
	if total <= partition.Index {
		return 0
	}
	return (total-partition.Index-1)/partition.Entries + 1
}
