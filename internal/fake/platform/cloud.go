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

// Cloud takes usage reports.
type Cloud struct {
	reports *rcu.Cell[reports]
	http    *httptest.Server
}

// reports are the counts by window, and what was wrong with them.
type reports struct {
	counts map[int64]map[string]int64
	faults []string
}

// NewCloud starts a cloud API that has seen nothing.
func NewCloud() *Cloud {
	cloud := &Cloud{reports: rcu.New(reports{counts: map[int64]map[string]int64{}})}
	cloud.http = httptest.NewServer(http.HandlerFunc(cloud.usage))
	return cloud
}

// Address returns "IP:port".
func (cloud *Cloud) Address() string { return strings.TrimPrefix(cloud.http.URL, "http://") }

// Close stops the API.
func (cloud *Cloud) Close() { cloud.http.Close() }

// Windows returns the number of windows that were reported.
func (cloud *Cloud) Windows() int { return len(cloud.reports.Load().counts) }

// Faults lists the windows that were reported with different counts.
func (cloud *Cloud) Faults() []string { return cloud.reports.Load().faults }

func (cloud *Cloud) usage(writer http.ResponseWriter, request *http.Request) {
	var body struct {
		Window int64
		Counts map[string]int64
	}
	if json.NewDecoder(request.Body).Decode(&body) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	cloud.reports.Update(func(before reports) reports {
		next := reports{counts: maps.Clone(before.counts), faults: before.faults}
		if known, ok := before.counts[body.Window]; ok && !maps.Equal(known, body.Counts) {
			next.faults = append(next.faults[:len(next.faults):len(next.faults)], fmt.Sprintf("window %d: %v and %v", body.Window, known, body.Counts))
		}
		next.counts[body.Window] = body.Counts
		return next
	})
}
