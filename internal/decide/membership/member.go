package membership

import (
	"cmp"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Member is the membership record of one entry.
type Member struct {
	Origin
	Profile
	// Version is the heartbeat counter, which only the entry itself increments.
	Version uint64
	// Leaving reports whether the entry is shutting down; it is permanent for the incarnation.
	Leaving bool
	// Condition is the failure detectors' conclusion at this version.
	Condition Condition
}

// Origin identifies one incarnation of an entry.
type Origin struct {
	Name        string
	Incarnation Incarnation
}

// Profile is an entry's address and location.
type Profile struct {
	// Address is the IP address and port for peers.
	Address string
	// Domain names the failure domain.
	Domain string
	Region string
}

// Incarnation distinguishes a restarted entry from its earlier runs.
//
// The zero value is for an entry that is known only from the platform's VM list.
type Incarnation struct {
	// Start is the start time in nanoseconds since the Unix epoch.
	Start int64
	// Random distinguishes two starts at the same clock reading.
	Random uint32
}

// ID is the 64-bit hash of an [Origin], used in messages.
type ID uint64

// Condition is the failure detectors' conclusion about an entry at one version.
type Condition string

// The conditions, in rising order of severity.
const (
	ConditionAlive   Condition = "Alive"
	ConditionSuspect Condition = "Suspect"
	ConditionGone    Condition = "Gone"
)

// Status is the state of an entry on which decisions are based.
type Status string

// The states of an entry.
const (
	StatusAlive   Status = "Alive"
	StatusSuspect Status = "Suspect"
	StatusLeaving Status = "Leaving"
	StatusGone    Status = "Gone"
)

// ID returns the 64-bit hash of the origin.
//
// With 420 entries and the incarnations of the past 24 hours, two origins share a
// hash with a probability below one in 10^13.
func (origin Origin) ID() ID {
	text := make([]byte, 0, 64)
	text = append(text, origin.Name...)
	text = append(text, 0)
	text = strconv.AppendInt(text, origin.Incarnation.Start, 10)
	text = append(text, 0)
	text = strconv.AppendUint(text, uint64(origin.Incarnation.Random), 10)
	return ID(xxhash.Sum64(text))
}

// Compare orders incarnations by start time, then by random number.
func (incarnation Incarnation) Compare(other Incarnation) int {
	return cmp.Or(cmp.Compare(incarnation.Start, other.Start), cmp.Compare(incarnation.Random, other.Random))
}

// Status combines the condition and Leaving into the state on which decisions are based.
func (member Member) Status() Status {
	switch {
	case member.Condition == ConditionGone:
		return StatusGone
	case member.Leaving:
		return StatusLeaving
	case member.Condition == ConditionSuspect:
		return StatusSuspect
	}
	return StatusAlive
}

// WithCondition returns the member with another condition at the same version.
func (member Member) WithCondition(condition Condition) Member {
	member.Condition = condition
	return member
}

// WithLeaving returns the member marked as leaving.
func (member Member) WithLeaving() Member {
	member.Leaving = true
	return member
}

// WithVersion returns the member as alive at a higher version, and unchanged if the version is not higher.
func (member Member) WithVersion(version uint64) Member {
	if version > member.Version {
		member.Version = version
		member.Condition = ConditionAlive
	}
	return member
}

// Merge returns the least upper bound of two records of one entry: the record with the later incarnation, or
// within an incarnation the one with the higher version, the more severe condition at the same version, and
// Leaving if either has it.
func (member Member) Merge(other Member) Member {
	switch member.Incarnation.Compare(other.Incarnation) {
	case -1:
		return other
	case 1:
		return member
	}
	eitherLeaving := member.Leaving || other.Leaving
	next := member
	if cmp.Or(cmp.Compare(member.Version, other.Version), cmp.Compare(conditionRank(member), conditionRank(other)), member.Profile.compare(other.Profile)) < 0 {
		next = other
	}
	next.Leaving = eitherLeaving
	return next
}

// compare is a total order of profiles; those of one incarnation differ only through a fault of the sender.
func (profile Profile) compare(other Profile) int {
	return cmp.Or(
		cmp.Compare(profile.Address, other.Address),
		cmp.Compare(profile.Domain, other.Domain),
		cmp.Compare(profile.Region, other.Region))
}

// conditionRank returns the severity of the member's condition.
func conditionRank(member Member) int {
	switch member.Condition {
	case ConditionGone:
		return 2
	case ConditionSuspect:
		return 1
	}
	return 0
}
