package directory

const (
	// OwnRevisionBits is the number of low bits of a qualified revision that hold the store's own revision. At 500 writes a second they
	// last for 70 years.
	OwnRevisionBits = 40
	// MaxRevision is the highest revision of the store itself that a qualified revision can hold.
	MaxRevision = 1<<OwnRevisionBits - 1
	// MaxEra bounds the eras, so that qualified revisions stay exact where a receiver decodes numbers as 64-bit floats.
	MaxEra = 1<<(53-OwnRevisionBits) - 1
)

// Qualified returns a revision that is ordered across restores of the store: it consists of the era, the number of restores
// from a backup, and the store's own revision in that era.
func Qualified(era, revision int64) int64 { return era<<OwnRevisionBits | revision }

// Era returns the era of a qualified revision.
func Era(qualified int64) int64 { return qualified >> OwnRevisionBits }

// OwnRevision returns the store's own revision of a qualified one.
func OwnRevision(qualified int64) int64 { return qualified & MaxRevision }
