package vmlist_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/membership"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/vmlist"
)

const document = `{"Vms":[
	{"Name":"e","Kind":"Entry","Address":"10.0.0.1:7000","Domain":"Vannes","Region":"west","State":"Running","Started":"2026-11-20T08:00:00Z"},
	{"Name":"f","Kind":"Entry","State":"Leaving","LeavingSince":"1970-01-01T00:00:01Z"},
	{"Name":"r","Kind":"Backend","Address":"10.0.0.2:8000","Domain":"Vannes","State":"Leaving","Started":"1970-01-01T00:00:02Z","LeavingSince":"1970-01-01T00:00:03Z"},
	{"Name":"x","Kind":"Balancer","State":"Running"}]}`

var list = vmlist.List{
	Entries: []membership.Listing{
		{Name: "e", Profile: membership.Profile{Address: "10.0.0.1:7000", Domain: "Vannes", Region: "west"}},
		{Name: "f", LeavingSince: 1e9},
	},
	Backends: []vmlist.Backend{{Name: "r", Incarnation: 2e9, Address: "10.0.0.2:8000", Domain: "Vannes", Leaving: true}},
}

// Guards against a malformed list that is taken for a list in which no VM is leaving.
func TestDecodeRefusesMalformedLists(t *testing.T) {
	decoded, err := vmlist.Decode([]byte(document))
	require.NoError(t, err)
	assert.Equal(t, list, decoded)
	for name, malformed := range map[string]string{
		"not JSON":                     `<html>`,
		"other shape":                  `{"vm":[]}`,
		"no name":                      `{"Vms":[{"Kind":"Entry","State":"Running"}]}`,
		"unknown state":                `{"Vms":[{"Name":"e","Kind":"Entry","State":"Stopping"}]}`,
		"no leave time":                `{"Vms":[{"Name":"e","Kind":"Entry","State":"Leaving"}]}`,
		"leave time beyond any clock":  `{"Vms":[{"Name":"e","Kind":"Entry","State":"Leaving","LeavingSince":"9999-01-01T00:00:00Z"}]}`,
		"leave time before any VM":     `{"Vms":[{"Name":"e","Kind":"Entry","State":"Leaving","LeavingSince":"0002-01-01T00:00:00Z"}]}`,
		"start beyond any clock":       `{"Vms":[{"Name":"r","Kind":"Backend","State":"Running","Started":"9999-01-01T00:00:00Z"}]}`,
		"backend server without start": `{"Vms":[{"Name":"r","Kind":"Backend","State":"Running"}]}`,
		"the same VM in two states":    `{"Vms":[{"Name":"e","Kind":"Entry","State":"Running"},{"Name":"e","Kind":"Entry","State":"Leaving","LeavingSince":"1970-01-01T00:00:01Z"}]}`,
		"bytes behind the list":        `{"Vms":[]}{`,
	} {
		_, err := vmlist.Decode([]byte(malformed))
		assert.Error(t, err, name)
	}
}

// Guards against a poller that stops or sends an empty list after a failed poll, and against one that sends
// an unchanged list again.
func TestPollerSurvivesFailuresAndSkipsUnchangedLists(t *testing.T) {
	var polls, failures atomic.Int32
	answers := []func(http.ResponseWriter, *http.Request){
		func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("ETag", `"1"`)
			_, _ = w.Write([]byte(document))
		},
		func(w http.ResponseWriter, r *http.Request) {
			assert.Equal(t, `"1"`, r.Header.Get("If-None-Match"))
			w.WriteHeader(http.StatusNotModified)
		},
		func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(strings.Repeat(" ", 9<<20))) },
		func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"Vms":[]}`)) },
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answers[min(int(polls.Add(1)), len(answers))-1](w, r)
	}))
	defer server.Close()
	poller, err := vmlist.New(vmlist.Settings{URL: server.URL, Interval: time.Millisecond, OnError: func(error) { failures.Add(1) }})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	out := make(chan vmlist.List)
	done := make(chan error, 1)
	go func() { done <- poller.Run(ctx, out) }()
	assert.Equal(t, list, <-out)
	assert.Equal(t, vmlist.List{}, <-out)
	assert.GreaterOrEqual(t, polls.Load(), int32(5))
	assert.Equal(t, int32(2), failures.Load())
	cancel()
	assert.NoError(t, <-done)
}

// Guards against an answer that there is no change, to a poller that has no list yet, which counted as a list without VMs.
func TestUnchangedListIsNoneBeforeTheFirst(t *testing.T) {
	var polls, failures atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if polls.Add(1) == 1 {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		_, _ = w.Write([]byte(document))
	}))
	defer server.Close()
	poller, err := vmlist.New(vmlist.Settings{URL: server.URL, Interval: time.Millisecond, OnError: func(error) { failures.Add(1) }})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	out := make(chan vmlist.List)
	done := make(chan error, 1)
	go func() { done <- poller.Run(ctx, out) }()
	assert.Equal(t, list, <-out)
	assert.Equal(t, int32(1), failures.Load())
	cancel()
	assert.NoError(t, <-done)
}
