package cluster

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Aggregate is the sum of the states of several entries.
type Aggregate struct {
	// ID identifies the aggregate; its admitted totals never restart from zero under the same ID.
	ID string
	// Sequence increases with each message that carries the aggregate.
	Sequence uint64
	// Age is the estimated time since the aggregate was computed. Without it, aggregators would pass the
	// last aggregates of an aggregator that has ended among each other forever.
	Age time.Duration
	// MemberDigest is the digest of Members, which are omitted for a receiver that already has them.
	MemberDigest uint64
	Members      []Member
	// Admitted, Running and Demand are the sums of the fields of the same names in [EntryState].
	Admitted map[string]float64
	Running  map[uint32]int
	Demand   map[string]float64
}

// MemberDigest is the digest of the members that an entry has for an aggregate.
type MemberDigest struct {
	ID     string
	Digest uint64
}

// WithMembers returns the aggregate with members and their digest.
func (aggregate Aggregate) WithMembers(members []Member) Aggregate {
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	var digest xxhash.Digest
	for _, member := range members {
		// Digest writes return no errors.
		_, _ = digest.WriteString(member.ID())
		_, _ = digest.Write([]byte{boolByte(member.Stopping), boolByte(member.IsLeader), boolByte(member.StoreUnreachable)})
	}
	aggregate.Members, aggregate.MemberDigest = members, digest.Sum64()
	return aggregate
}

// WithoutMembers returns the aggregate for a receiver that already has the members.
func (aggregate Aggregate) WithoutMembers() Aggregate {
	aggregate.Members = nil
	return aggregate
}

// madeBy reports whether the incarnation with an id computed the aggregate.
func (aggregate Aggregate) madeBy(id string) bool {
	suffix, found := strings.CutPrefix(aggregate.ID, id)
	return found && (suffix == "" || suffix[0] == '/')
}

// admittedOnly returns the aggregate without members, running calls and demand, which count for live entries only.
func (aggregate Aggregate) admittedOnly() Aggregate {
	return Aggregate{ID: aggregate.ID, Sequence: aggregate.Sequence, Age: aggregate.Age, Admitted: aggregate.Admitted}
}

// adjusted returns a copy of totals with some numbers added and others subtracted; zero totals are removed.
func adjusted[K comparable, V int | float64](totals, added, subtracted map[K]V) map[K]V {
	next := make(map[K]V, len(totals)+len(added))
	maps.Copy(next, totals)
	for key, value := range added {
		next[key] += value
	}
	for key, value := range subtracted {
		if next[key] -= value; next[key] == 0 {
			delete(next, key)
		}
	}
	return next
}

func boolByte(set bool) byte {
	if set {
		return 1
	}
	return 0
}
