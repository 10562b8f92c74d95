package platform

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
)

// Cloud is a stand-in for the cloud API that receives usage reports.
type Cloud struct {
	reports *rcu.Cell[reports]
	http    *httptest.Server
}

// reports holds the latest counts by window and describes each report that contradicts an earlier one.
type reports struct {
	counts map[int64]map[string]int64
	// leaders are the names of the leaders by fencing number.
	leaders   map[string]string
	conflicts []string
}

// NewCloud starts a cloud API that has received no report, on a free port of the loopback interface.
func NewCloud() *Cloud {
	cloud := &Cloud{reports: rcu.New(reports{counts: map[int64]map[string]int64{}, leaders: map[string]string{}})}
	cloud.http = httptest.NewServer(http.HandlerFunc(cloud.usage))
	return cloud
}

// Address returns the address that the API listens on, as "IP:port".
func (cloud *Cloud) Address() string { return strings.TrimPrefix(cloud.http.URL, "http://") }

// Close stops the API's server.
func (cloud *Cloud) Close() { cloud.http.Close() }

// Windows returns the number of distinct windows reported so far.
func (cloud *Cloud) Windows() int { return len(cloud.reports.Load().counts) }

// Conflicts describes each window that was reported more than once with different counts, and each fencing number that two leaders used.
func (cloud *Cloud) Conflicts() []string { return cloud.reports.Load().conflicts }

// usage records a usage report, and a conflict if its window was reported before with different counts.
func (cloud *Cloud) usage(writer http.ResponseWriter, request *http.Request) {
	var body struct {
		Window int64
		Counts map[string]int64
	}
	if json.NewDecoder(request.Body).Decode(&body) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	leader, fence := request.Header.Get("X-Rosemaryspar-Duty-Holder"), request.Header.Get("X-Rosemaryspar-Fence-Token")
	cloud.reports.Update(func(current reports) reports {
		next := reports{counts: maps.Clone(current.counts), leaders: maps.Clone(current.leaders), conflicts: current.conflicts}
		if earlier, ok := current.leaders[fence]; ok && earlier != leader {
			next.conflicts = append(next.conflicts[:len(next.conflicts):len(next.conflicts)], fmt.Sprintf("fencing number %s used by %s and %s", fence, earlier, leader))
		}
		next.leaders[fence] = leader
		if earlier, ok := current.counts[body.Window]; ok && !maps.Equal(earlier, body.Counts) {
			next.conflicts = append(next.conflicts[:len(next.conflicts):len(next.conflicts)], fmt.Sprintf("window %d reported as %v and then as %v", body.Window, earlier, body.Counts))
		}
		next.counts[body.Window] = body.Counts
		return next
	})
}
