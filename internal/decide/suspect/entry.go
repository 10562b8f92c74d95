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

// RequestStatus is one request that is suspected or quarantined, for operators to read.
type RequestStatus struct {
	ID      string
	Account string
	Verdict Verdict
	// Servers names the backend servers that crashed with the request in flight.
	Servers []string
	// Last is when the newest of these crashes was seen.
	Last time.Time
}

// ID returns the fingerprint as operators write it, "CONTENT@ACCOUNT" with the content in hexadecimal digits.
func (fingerprint Fingerprint) ID() string {
	return fmt.Sprintf("%016x@%s", fingerprint.Content, fingerprint.Account)
}

// ParseID returns the fingerprint that operators wrote, and false for a malformed one.
func ParseID(id string) (Fingerprint, bool) {
	content, account, found := strings.Cut(id, "@")
	parsed, err := strconv.ParseUint(content, 16, 64)
	return Fingerprint{Account: account, Content: parsed}, found && err == nil && account != ""
}

// Requests returns the requests that are not clear, the newest crash first.
func (tracker Tracker) Requests(now time.Time) []RequestStatus {
	var entries []RequestStatus
	for fingerprint, found := range tracker.records {
		verdict := tracker.Verdict(fingerprint, now)
		if verdict == VerdictClear {
			continue
		}
		entries = append(entries, RequestStatus{
			ID:      fingerprint.ID(),
			Account: fingerprint.Account,
			Verdict: verdict,
			Servers: slices.Sorted(maps.Keys(found.crashes)),
			Last:    found.newest(),
		})
	}
	slices.SortFunc(entries, func(one, other RequestStatus) int {
		return cmp.Or(other.Last.Compare(one.Last), strings.Compare(one.ID, other.ID))
	})
	return entries
}
