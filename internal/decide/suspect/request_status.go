package suspect

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// RequestStatus describes a suspected or quarantined request for operators.
type RequestStatus struct {
	ID      string
	Account string
	Verdict Verdict
	// Servers are the ids of the backend servers that crashed with the request in flight.
	Servers []string
	// Last is the time of the latest of these crashes.
	Last time.Time
}

// ID returns the fingerprint in the form that operators use, "CONTENT@ACCOUNT" with the content as 16
// hexadecimal digits.
func (fingerprint Fingerprint) ID() string {
	return fmt.Sprintf("%016x@%s", fingerprint.Content, fingerprint.Account)
}

// ParseID parses a fingerprint in the form of [Fingerprint.ID], and returns false for a malformed one.
func ParseID(id string) (Fingerprint, bool) {
	content, account, found := strings.Cut(id, "@")
	parsed, err := strconv.ParseUint(content, 16, 64)
	return Fingerprint{Account: account, Content: parsed}, found && err == nil && account != ""
}

// Requests returns the suspected and quarantined requests, the latest crash first.
func (tracker Tracker) Requests(now time.Time) []RequestStatus {
	var requests []RequestStatus
	for fingerprint, record := range tracker.records {
		verdict := tracker.Verdict(fingerprint, now)
		if verdict == VerdictClear {
			continue
		}
		requests = append(requests, RequestStatus{
			ID:      fingerprint.ID(),
			Account: fingerprint.Account,
			Verdict: verdict,
			Servers: slices.Sorted(maps.Keys(record.crashes)),
			Last:    record.latest(),
		})
	}
	slices.SortFunc(requests, func(a, b RequestStatus) int {
		return cmp.Or(b.Last.Compare(a.Last), strings.Compare(a.ID, b.ID))
	})
	return requests
}
