package cluster

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/prefill"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/rollout"
)

// Aggregate is the sum of the states of several entries.
type Aggregate struct {
	// ID identifies the aggregate; its admitted totals never restart from zero under the same ID.
	ID string
	// Sequence increases with each message in which its aggregator sends it.
	Sequence uint64
	// Age is the estimated time since the aggregate was computed. Without it, the last aggregates of an
	// aggregator that has ended would never expire, since the other aggregators keep sending them.
	Age time.Duration
	// MemberDigest is the digest of Members, which are omitted for a receiver that already has them.
	MemberDigest uint64
	// Members are the entries that the aggregate adds up, ordered by name.
	Members []Member
	// The other fields are the sums of those of the same names in [EntryState].
	Admitted              map[string]float64
	Asked                 map[string]float64
	Running               map[uint32]int
	Demand                map[string]float64
	PrefillSamples        prefill.Counts
	PaceLogs, PaceSamples map[uint32]int
	Evidence              rollout.Totals
	MovedEntries          map[int64]float64
	ShareFigures          map[uint32]float64
}

// totals returns a state that has the totals of the aggregate, and nothing else.
func (aggregate Aggregate) totals() EntryState {
	return EntryState{Admitted: aggregate.Admitted, Asked: aggregate.Asked, Evidence: aggregate.Evidence}
}

// MemberDigest is the digest of the members that an entry has for an aggregate.
type MemberDigest struct {
	ID     string
	Digest uint64
}

// WithMembers returns the aggregate with members and their digest. It sorts the slice members in place.
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

// busyShare is the part of a server's slots from which on its calls are reported among many entries. The calls of others
// count for an entry only if they take all slots together with its own (package placement).
const busyShare = 0.5

// WithoutIdleServers returns the aggregate without the calls in progress at servers that have less than half of their slots
// taken. Slots has the number of slots by [ServerKey]; other servers are kept.
//
// The calls at each of thousands of servers would otherwise be most of what an aggregator sends to each of its entries.
func (aggregate Aggregate) WithoutIdleServers(slots map[uint32]int) Aggregate {
	busy := map[uint32]int{}
	for server, running := range aggregate.Running {
		if count, known := slots[server]; !known || float64(running) >= busyShare*float64(count) {
			busy[server] = running
		}
	}
	aggregate.Running = busy
	return aggregate
}

// membersOnly returns the aggregate without its sums, under an ID of its own, so that the receiver does not take the
// missing sums for sums of zero.
func (aggregate Aggregate) membersOnly() Aggregate {
	return Aggregate{
		ID: aggregate.ID + membersSuffix, Sequence: aggregate.Sequence, Age: aggregate.Age, MemberDigest: aggregate.MemberDigest, Members: aggregate.Members,
	}
}

// membersSuffix ends the ID of an aggregate that has members only.
const membersSuffix = "/members"

// HasSums reports whether the aggregate has more than members.
func (aggregate Aggregate) HasSums() bool { return !strings.HasSuffix(aggregate.ID, membersSuffix) }

// computer returns the id of the incarnation that computed the aggregate.
func (aggregate Aggregate) computer() string {
	name, rest, _ := strings.Cut(aggregate.ID, "#")
	incarnation, _, _ := strings.Cut(rest, "/")
	return name + "#" + incarnation
}

// withLevels returns the aggregate with the levels of added added and those of subtracted subtracted.
func (aggregate Aggregate) withLevels(added, subtracted EntryState) Aggregate {
	aggregate.Running = adjusted(aggregate.Running, added.Running, subtracted.Running)
	aggregate.Demand = adjusted(aggregate.Demand, added.Demand, subtracted.Demand)
	aggregate.PrefillSamples = adjusted(aggregate.PrefillSamples, added.PrefillSamples, subtracted.PrefillSamples)
	aggregate.PaceLogs = adjusted(aggregate.PaceLogs, added.PaceLogs, subtracted.PaceLogs)
	aggregate.PaceSamples = adjusted(aggregate.PaceSamples, added.PaceSamples, subtracted.PaceSamples)
	aggregate.MovedEntries = adjusted(aggregate.MovedEntries, added.MovedEntries, subtracted.MovedEntries)
	aggregate.ShareFigures = adjusted(aggregate.ShareFigures, added.ShareFigures, subtracted.ShareFigures)
	return aggregate
}

// withTotals returns the aggregate with the totals of added added and those of subtracted subtracted.
func (aggregate Aggregate) withTotals(added, subtracted EntryState) Aggregate {
	aggregate.Admitted = adjusted(aggregate.Admitted, added.Admitted, subtracted.Admitted)
	aggregate.Asked = adjusted(aggregate.Asked, added.Asked, subtracted.Asked)
	aggregate.Evidence = aggregate.Evidence.Plus(added.Evidence).Minus(subtracted.Evidence)
	return aggregate
}

// computedBy reports whether the incarnation with an id computed the aggregate.
func (aggregate Aggregate) computedBy(id string) bool {
	suffix, found := strings.CutPrefix(aggregate.ID, id)
	return found && (suffix == "" || suffix[0] == '/')
}

// totalsOnly returns the aggregate with its totals only; members and levels count only
// while the entries are alive.
func (aggregate Aggregate) totalsOnly() Aggregate {
	return Aggregate{ID: aggregate.ID, Sequence: aggregate.Sequence, Age: aggregate.Age, Admitted: aggregate.Admitted, Asked: aggregate.Asked, Evidence: aggregate.Evidence}
}

// adjusted returns a copy of totals in which the values of added are added and those of subtracted are
// subtracted, key by key; totals that become zero by a subtraction are removed.
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

// growth returns how much each of the totals has grown since earlier, without those that have not.
func growth(totals, earlier map[string]float64) map[string]float64 {
	grown := map[string]float64{}
	for key, total := range totals {
		if total > earlier[key] {
			grown[key] = total - earlier[key]
		}
	}
	return grown
}

func boolByte(set bool) byte {
	if set {
		return 1
	}
	return 0
}
