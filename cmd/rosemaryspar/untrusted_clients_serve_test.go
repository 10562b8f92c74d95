package main_test

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/fake/process"
)

// serveCrowds are the kinds of clients of `serve`. Those whose calls need a route of the users' platform are left out.
func serveCrowds() []crowd {
	untrusted := slices.DeleteFunc(crowds(), func(crowd crowd) bool {
		return strings.HasPrefix(crowd.name, "unread") || crowd.name == severalFormsName
	})
	untrusted = append(untrusted, bodiesOfServe()...)
	return append(untrusted, severalForms(untrusted))
}

// bodiesOfServe are the kinds of clients that send bodies without end at a path of `serve`.
func bodiesOfServe() []crowd {
	post := func(fields string) string {
		return "POST /v1/completions HTTP/1.1\r\nHost: soak.example\r\nAuthorization: Bearer " + callerKey + "\r\n" + fields + "\r\n"
	}
	return []crowd{
		{"bodies_that_do_not_end_of_serve", crowdClients, sendsAndReads(post("Content-Length: 4000000\r\n") + strings.Repeat("x", 1<<20))},
		{"chunks_that_do_not_end_of_serve", crowdClients, repeats(post("Transfer-Encoding: chunked\r\n"), strings.Repeat("400\r\n"+strings.Repeat("x", 1<<10)+"\r\n", 4))},
		{"chunk_extensions_of_serve", crowdClients, repeats(post("Transfer-Encoding: chunked\r\n")+"1;", strings.Repeat("x", 4<<10))},
		{"trailers_of_serve", crowdClients, repeats(post("Transfer-Encoding: chunked\r\n")+"0\r\n", "X-Trailer: "+strings.Repeat("x", 4<<10)+"\r\n")},
	}
}

// startLimitedServe starts an entry of `serve`, before a key-value service.
func startLimitedServe(t *testing.T) *process.Process {
	t.Helper()
	store, err := programs.Start("standin", "kv")
	require.NoError(t, err)
	t.Cleanup(store.Kill)
	t.Setenv("ROSEMARYSPAR_MEMORY_MB", strconv.Itoa(crowdMemoryMb))
	t.Setenv("ROSEMARYSPAR_MAX_FDS", strconv.Itoa(crowdFds))
	entry, err := programs.Start("rosemaryspar", "serve", "--name", "entry-0", "--domain", "quimper",
		"--caller-address", "127.0.0.1:0", "--operator-address", "127.0.0.1:0", "--peer-address", "127.0.0.1:0",
		"--kv-addresses", store.Addresses["Address"], "--operators", "ops="+hash(operatorKey))
	require.NoError(t, err)
	t.Cleanup(entry.Kill)
	return entry
}

// Guards against clients that keep an entry of `serve` from stopping in order, at each of its addresses.
func TestUntrustedClientsDoNotKeepServeFromStopping(t *testing.T) {
	for name, crowd := range map[string]crowd{
		"CallerAddress":   severalForms(serveCrowds()),
		"OperatorAddress": severalForms(bodiesOfServe()),
		"PeerAddress":     severalForms(peerCrowds(servePeerPath)),
	} {
		t.Run(name, func(t *testing.T) {
			entry := startLimitedServe(t)
			checkCrowd(t, crowd, entry.Addresses[name], entry, func() {})
			checkStop(t, crowd, entry.Addresses[name], entry)
		})
	}
}

// Guards against clients that end an entry of `serve` by what they make it hold, at each of its addresses.
func TestUntrustedClientsDoNotEndServe(t *testing.T) {
	for name, crowds := range map[string][]crowd{
		"CallerAddress": serveCrowds(),
		"OperatorAddress": append(named("heads_over_the_limit", "heads_without_end", "empty_lines_between_requests", "very_many_fields",
			"idle_connections", "idle_connections_after_a_request", "unread_metrics"), bodiesOfServe()...),
		"PeerAddress": peerCrowds(servePeerPath),
	} {
		for _, crowd := range crowds {
			t.Run(name+"/"+crowd.name, func(t *testing.T) {
				entry := startLimitedServe(t)
				checkCrowd(t, crowd, entry.Addresses[name], entry, func() {
					for _, path := range []string{entry.Addresses["CallerAddress"] + "/v1/models", entry.Addresses["OperatorAddress"] + "/metrics"} {
						require.Eventually(t, func() bool {
							request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+path, nil)
							require.NoError(t, err)
							status, _, err := roundTrip(request)
							return err == nil && status > 0
						}, 20*time.Second, 20*time.Millisecond, "no answer of %s", path)
					}
				})
			})
		}
	}
}
