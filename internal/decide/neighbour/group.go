package neighbour

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Group is what several entries state together.
type Group struct {
	// ID identifies the sum, whose admitted totals never start again under the same ID.
	ID string
	// Sequence rises with each statement.
	Sequence uint64
	// Age is the time since the sum was made, as far as it is known. Without it, the last sums of
	// a relay that has ended would be passed on among the others for ever.
	Age time.Duration
	// Roster is the digest of the members, which are left out for a receiver that knows them.
	Roster  uint64
	Members []Member
	// Admitted, Running and Demand are the sums of the fields of the same names in the records.
	Admitted map[string]float64
	Running  map[uint32]int
	Demand   map[string]float64
}

// Roster tells which members of a group an entry knows.
type Roster struct {
	ID     string
	Digest uint64
}

// WithMembers returns the group with its members and their digest.
func (group Group) WithMembers(members []Member) Group {
	slices.SortFunc(members, func(one, other Member) int { return strings.Compare(one.Name, other.Name) })
	var digest xxhash.Digest
	for _, member := range members {
		// Digest writes return no errors.
		_, _ = digest.WriteString(member.ID())
		_, _ = digest.Write([]byte{flag(member.Stopping), flag(member.Holds), flag(member.StoreOut)})
	}
	group.Members, group.Roster = members, digest.Sum64()
	return group
}

// WithoutMembers returns the group for a receiver that knows the members.
func (group Group) WithoutMembers() Group {
	group.Members = nil
	return group
}

// madeBy reports whether an incarnation made the sum.
func (group Group) madeBy(id string) bool {
	rest, found := strings.CutPrefix(group.ID, id)
	return found && (rest == "" || rest[0] == '/')
}

// admittedOnly returns the group without what counts for live entries only.
func (group Group) admittedOnly() Group {
	return Group{ID: group.ID, Sequence: group.Sequence, Age: group.Age, Admitted: group.Admitted}
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
