package usage

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// unknownDigest stands for the counts of a window for which entries reported different ones.
const unknownDigest = 0

// MaxReported is the number of windows of which an entry remembers that they were reported. It is that of the windows whose counts
// it keeps.
const MaxReported = maxWindows

// Reported are the windows that some entry has reported or may have, with the digests of their counts. It is immutable; the zero
// value is empty.
type Reported struct {
	digests map[int64]uint64
}

// ReportedOf returns the latest MaxReported of windows with the digests of their counts.
func ReportedOf(digests map[int64]uint64) Reported {
	return Reported{}.Merge(Reported{digests: digests})
}

// Digests returns the digests by window, which the caller must not change.
func (reported Reported) Digests() map[int64]uint64 { return reported.digests }

// WithReport returns the reported windows with one more, of which the counts are being sent.
func (reported Reported) WithReport(window int64, counts map[string]int64) Reported {
	return reported.Merge(Reported{digests: map[int64]uint64{window: digest(counts)}})
}

// Merge returns the latest MaxReported windows of both.
func (reported Reported) Merge(other Reported) Reported {
	changed := false
	for window, digest := range other.digests {
		known, exists := reported.digests[window]
		changed = changed || !exists || known != digest
	}
	if !changed {
		return reported
	}
	merged := maps.Clone(reported.digests)
	if merged == nil {
		merged = map[int64]uint64{}
	}
	for window, digest := range other.digests {
		if known, exists := merged[window]; exists && known != digest {
			digest = unknownDigest
		}
		merged[window] = digest
	}
	windows := slices.Sorted(maps.Keys(merged))
	for _, window := range windows[:max(0, len(windows)-MaxReported)] {
		delete(merged, window)
	}
	return Reported{digests: merged}
}

// Until returns the reported windows without those after a window. A peer cannot have reported these.
func (reported Reported) Until(last int64) Reported {
	kept := maps.Clone(reported.digests)
	maps.DeleteFunc(kept, func(window int64, _ uint64) bool { return window > last })
	return Reported{digests: kept}
}

// Has reports whether a window was reported.
func (reported Reported) Has(window int64) bool {
	_, known := reported.digests[window]
	return known
}

// HasCounts reports whether a window was reported with these counts and, as far as is known, with no others.
func (reported Reported) HasCounts(window int64, counts map[string]int64) bool {
	known, exists := reported.digests[window]
	return exists && known != unknownDigest && known == digest(counts)
}

// digest returns the hash of counts by client account.
func digest(counts map[string]int64) uint64 {
	var hash xxhash.Digest
	hash.Reset()
	for _, account := range slices.Sorted(maps.Keys(counts)) {
		// Digest writes return no errors. A zero byte ends the name, which has none.
		_, _ = hash.WriteString(account)
		_, _ = hash.Write(binary.BigEndian.AppendUint64([]byte{0}, uint64(counts[account])))
	}
	return hash.Sum64()
}
