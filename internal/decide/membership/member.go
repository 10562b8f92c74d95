package membership

import (
	"cmp"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Member is what is known of one entry.
type Member struct {
	Origin
	Profile
	// Version is the heartbeat counter, which only the entry itself raises.
	Version uint64
	// Leaving reports that the entry stops; it is permanent for the incarnation.
	Leaving bool
	// Condition is what others conclude from silence at this version.
	Condition Condition
}

// Origin names one run of an entry.
type Origin struct {
	Name        string
	Incarnation Incarnation
}

// Profile is where an entry runs.
type Profile struct {
	// Address is the IP address and port for peers.
	Address string
	// Domain names the failure domain.
	Domain string
	Region string
}

// Incarnation tells a restarted entry from its earlier run.
//
// The zero value stands for an entry that is known from the VM list only.
type Incarnation struct {
	// Start is the start time in nanoseconds since the Unix epoch.
	Start int64
	// Random tells apart two starts at the same clock reading.
	Random uint32
}

// ID is a short form of an [Origin] for messages.
type ID uint64

// Condition is the doubt about an entry at one version.
type Condition string

// The conditions, in rising order of doubt.
const (
	ConditionAlive   Condition = "Alive"
	ConditionSuspect Condition = "Suspect"
	ConditionGone    Condition = "Gone"
)

// Status is the state of an entry as used for decisions.
type Status string

// The states of an entry.
const (
	StatusAlive   Status = "Alive"
	StatusSuspect Status = "Suspect"
	StatusLeaving Status = "Leaving"
	StatusGone    Status = "Gone"
)

// ID returns the short form of the origin.
//
// At 420 entries and 24 hours of former ones, two origins share a 64-bit hash
// with a probability below one in 10^13.
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

// Status returns the state used for decisions.
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

// WithVersion returns the member alive at a higher version, and unchanged for any other version.
func (member Member) WithVersion(version uint64) Member {
	if version > member.Version {
		member.Version = version
		member.Condition = ConditionAlive
	}
	return member
}

// Merge returns the least record that includes both records of one entry.
func (member Member) Merge(other Member) Member {
	switch member.Incarnation.Compare(other.Incarnation) {
	case -1:
		return other
	case 1:
		return member
	}
	leaving := member.Leaving || other.Leaving
	next := member
	if cmp.Or(cmp.Compare(member.Version, other.Version), cmp.Compare(doubt(member), doubt(other)), member.Profile.compare(other.Profile)) < 0 {
		next = other
	}
	next.Leaving = leaving
	return next
}

// compare gives profiles of one incarnation a total order; they differ only by a fault of the sender.
func (profile Profile) compare(other Profile) int {
	return cmp.Or(
		cmp.Compare(profile.Address, other.Address),
		cmp.Compare(profile.Domain, other.Domain),
		cmp.Compare(profile.Region, other.Region))
}

func doubt(member Member) int {
	switch member.Condition {
	case ConditionGone:
		return 2
	case ConditionSuspect:
		return 1
	}
	return 0
}
