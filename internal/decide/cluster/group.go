package cluster

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Aggregate is what several entries state together.
type Aggregate struct {
	// ID identifies the sum, whose admitted totals never start again under the same ID.
	ID string
	// Sequence rises with each statement.
	Sequence uint64
	// Age is the time since the sum was made, as far as it is known. Without it, the last sums of
	// a relay that has ended would be passed on among the others for ever.
	Age time.Duration
	// MemberDigest is the digest of the members, which are left out for a receiver that knows them.
	MemberDigest uint64
	Members      []Member
	// Admitted, Running and Demand are the sums of the fields of the same names in the records.
	Admitted map[string]float64
	Running  map[uint32]int
	Demand   map[string]float64
}

// MemberDigest tells which members of a group an entry knows.
type MemberDigest struct {
	ID     string
	Digest uint64
}

// WithMembers returns the group with its members and their digest.
func (aggregate Aggregate) WithMembers(members []Member) Aggregate {
	slices.SortFunc(members, func(one, other Member) int { return strings.Compare(one.Name, other.Name) })
	var digest xxhash.Digest
	for _, member := range members {
		// Digest writes return no errors.
		_, _ = digest.WriteString(member.ID())
		_, _ = digest.Write([]byte{flag(member.Stopping), flag(member.IsLeader), flag(member.StoreUnreachable)})
	}
	aggregate.Members, aggregate.MemberDigest = members, digest.Sum64()
	return aggregate
}

// WithoutMembers returns the group for a receiver that knows the members.
func (aggregate Aggregate) WithoutMembers() Aggregate {
	aggregate.Members = nil
	return aggregate
}

// madeBy reports whether an incarnation made the sum.
func (aggregate Aggregate) madeBy(id string) bool {
	rest, found := strings.CutPrefix(aggregate.ID, id)
	return found && (rest == "" || rest[0] == '/')
}

// admittedOnly returns the group without what counts for live entries only.
func (aggregate Aggregate) admittedOnly() Aggregate {
	return Aggregate{ID: aggregate.ID, Sequence: aggregate.Sequence, Age: aggregate.Age, Admitted: aggregate.Admitted}
}

// changed returns the numbers with some added and others taken away.
func changed[K comparable, V int | float64](numbers, more, less map[K]V) map[K]V {
	next := make(map[K]V, len(numbers)+len(more))
	maps.Copy(next, numbers)
	for key, value := range more {
		next[key] += value
	}
	for key, value := range less {
		if next[key] -= value; next[key] == 0 {
			delete(next, key)
		}
	}
	return next
}

func flag(set bool) byte {
	if set {
		return 1
	}
	return 0
}
