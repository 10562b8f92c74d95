package main_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/fake/platform"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/process"
)

// The crowds of untrusted clients, and the limits that their tests set for the process.
const (
	// crowdClients is the number of clients of a crowd, each with one connection at a time.
	crowdClients = 400
	// idleClients is the number of clients that only hold a connection.
	idleClients = 800
	// crowdTime is how long a crowd goes on, and crowdSampleTime the time between two samples of the process.
	crowdTime       = 2 * time.Second
	crowdSampleTime = 10 * time.Millisecond
	// crowdMemoryMb is Limits.MemoryMb, and crowdFds is Limits.MaxFds.
	crowdMemoryMb = 64
	crowdFds      = 600
	// headChunk is a part of a head that is smaller than the default limit of a head, in bytes.
	headChunk = 60 << 10
)

// client is what a client of a crowd does with one connection, whose deadline is the end of the crowd.
type client func(conn net.Conn)

// crowd is a number of clients that do the same.
type crowd struct {
	name    string
	clients int
	client  client
}

// crowds are the kinds of clients that nobody controls.
func crowds() []crowd {
	return []crowd{
		{"heads_over_the_limit", crowdClients, sendsAndReads("GET /stock/x HTTP/1.1\r\nHost: soak.example\r\nX-Long: " + strings.Repeat("x", 1<<20) + "\r\n\r\n")},
		{"heads_without_end", crowdClients, sendsAndReads("GET /stock/x HTTP/1.1\r\nHost: soak.example\r\nX-Long: " + strings.Repeat("x", headChunk))},
		{"request_lines_without_end", crowdClients, sendsAndReads("GET /stock/" + strings.Repeat("x", headChunk))},
		{"empty_lines_on_new_connections", crowdClients, repeats("", strings.Repeat("\r\n", 2<<10))},
		{"empty_lines_between_requests", crowdClients, repeats(orderWith("Content-Length: 0\r\n")+"\r\n\r\n", strings.Repeat("\r\n", 2<<10))},
		{"line_feeds_on_new_connections", crowdClients, repeats("", strings.Repeat("\n", 4<<10))},
		{"very_many_fields", crowdClients, sendsAndReads("GET /stock/x HTTP/1.1\r\nHost: soak.example\r\n" + manyFields())},
		{"very_many_fields_before_a_body", crowdClients, sendsAndReads(orderWith(manyFields()+"Content-Length: 10\r\n") + "x")},
		{"one_byte_at_a_time", crowdClients, trickles("GET /stock/x HTTP/1.1\r\nHost: soak.example\r\nX-Long: ")},
		{"chunk_extensions_without_end", crowdClients, repeats(orderWith("Transfer-Encoding: chunked\r\n")+"1;", strings.Repeat("x", 4<<10))},
		{"trailers_without_end", crowdClients, repeats(orderWith("Transfer-Encoding: chunked\r\n")+"0\r\n", "X-Trailer: "+strings.Repeat("x", 4<<10)+"\r\n")},
		{"bodies_in_chunks_of_a_byte", crowdClients, repeats(orderWith("Transfer-Encoding: chunked\r\n"), strings.Repeat("1\r\nx\r\n", 1<<10))},
		{"bodies_that_do_not_end", crowdClients, sendsAndReads(orderWith("Content-Length: 4000000\r\n") + strings.Repeat("x", 1<<20))},
		{"pipelined_requests", crowdClients, repeats("", strings.Repeat("GET /stock/x HTTP/1.1\r\nHost: soak.example\r\n\r\n", 100))},
		{"unread_long_answers", crowdClients, sendsAndWaits(orderTo("/stock/long", ""))},
		{"unread_streams", crowdClients, sendsAndWaits(orderTo("/stream/long", ""))},
		{"idle_connections", idleClients, sendsAndWaits("")},
		{"idle_connections_after_a_request", idleClients, sendsAndReads("GET /stock/x HTTP/1.1\r\nHost: soak.example\r\n\r\n")},
	}
}

// named returns the crowds with the names.
func named(names ...string) []crowd {
	return slices.DeleteFunc(crowds(), func(crowd crowd) bool { return !slices.Contains(names, crowd.name) })
}

// orderTo returns the head of a call with further fields, to a path.
func orderTo(path, fields string) string {
	return platform.CallHead(path, "soak.example", "k1", "untrusted", fields)
}

// orderWith returns the head of a call with further fields.
func orderWith(fields string) string { return orderTo("/order/x", fields) }

// manyFields returns fields with different names, as many as a head below the default limit can have.
func manyFields() string {
	var fields strings.Builder
	for i := 0; fields.Len() < headChunk; i++ {
		_, _ = fmt.Fprintf(&fields, "a%s:\r\n", strconv.FormatInt(int64(i), 36))
	}
	return fields.String()
}

// sendsAndReads sends a text and reads what comes until the connection ends.
func sendsAndReads(text string) client {
	return func(conn net.Conn) {
		_, _ = io.WriteString(conn, text)
		_, _ = io.Copy(io.Discard, conn)
	}
}

// sendsAndWaits sends a text and reads nothing until the end of the crowd.
func sendsAndWaits(text string) client {
	return func(conn net.Conn) {
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		_, _ = io.WriteString(conn, text)
		time.Sleep(crowdTime)
	}
}

// repeats sends a text, and another one without end until the connection ends. It reads nothing.
func repeats(first, piece string) client {
	return func(conn net.Conn) {
		_, err := io.WriteString(conn, first)
		for err == nil {
			_, err = io.WriteString(conn, piece)
		}
	}
}

// trickles sends a text one byte at a time, and a further byte now and then until the connection ends.
func trickles(text string) client {
	return func(conn net.Conn) {
		for i := 0; ; i++ {
			next := "x"
			if i < len(text) {
				next = text[i : i+1]
			}
			if _, err := io.WriteString(conn, next); err != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}
}

// run lets the crowd act on an address for crowdTime, and returns the highest resident memory in bytes and number of descriptors of a
// process meanwhile.
func (crowd crowd) run(t *testing.T, address string, target *process.Process) (memory int64, descriptors int) {
	t.Helper()
	end := time.Now().Add(crowdTime)
	var running sync.WaitGroup
	for range crowd.clients {
		running.Go(func() {
			for time.Now().Before(end) {
				conn, err := net.DialTimeout("tcp", address, time.Until(end)) //nolint:noctx // the time limit is the end of the crowd
				if err != nil {
					time.Sleep(crowdSampleTime)
					continue
				}
				_ = conn.SetDeadline(end)
				crowd.client(conn)
				_ = conn.Close()
				time.Sleep(time.Millisecond) // Bounds the rate of the connections.
			}
		})
	}
	for time.Now().Before(end) {
		memory, descriptors = max(memory, residentMemory(target)), max(descriptors, openDescriptors(target))
		time.Sleep(crowdSampleTime)
	}
	running.Wait()
	return memory, descriptors
}

// residentMemory returns the resident memory of a process in bytes, 0 after its end.
func residentMemory(target *process.Process) int64 {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", target.ID()))
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var kilobytes int64
		if count, _ := fmt.Sscanf(lines.Text(), "VmRSS: %d kB", &kilobytes); count == 1 {
			return kilobytes << 10
		}
	}
	return 0
}

// openDescriptors returns the number of open descriptors of a process, 0 after its end.
func openDescriptors(target *process.Process) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", target.ID()))
	if err != nil {
		return 0
	}
	return len(entries)
}

// checkCrowd lets a crowd act on an address of a process. The process must live, stay within the limits, and serve afterwards.
func checkCrowd(t *testing.T, crowd crowd, address string, target *process.Process, serve func()) {
	t.Helper()
	before := residentMemory(target)
	memory, descriptors := crowd.run(t, address, target)
	t.Logf("resident memory before %.1f MB, at most %.1f MB; at most %d descriptors", float64(before)/(1<<20), float64(memory)/(1<<20), descriptors)
	select {
	case <-target.Ended():
		require.Fail(t, "the process has ended")
	default:
	}
	assert.LessOrEqual(t, memory, int64(crowdMemoryMb<<20), "resident memory")
	assert.LessOrEqual(t, descriptors, crowdFds, "open descriptors")
	serve()
}

// newLimitedEntry starts one entry with the limits of the tests, before a runner and a server with long answers.
func newLimitedEntry(t *testing.T) *soak {
	t.Helper()
	soak := &soak{
		t: t, store: platform.NewStore(), cloud: platform.NewCloud(), runs: platform.NewRuns(), folder: t.TempDir(), allocated: map[string]bool{},
		violations: make(chan string, 1000), failures: map[soakFailure]int{}, random: rand.New(rand.NewPCG(1, 1)),
		limits: map[string]any{"MemoryMb": crowdMemoryMb, "MaxFds": crowdFds},
	}
	t.Cleanup(soak.store.Close)
	t.Cleanup(soak.cloud.Close)
	soak.putConfiguration("k1")
	soak.runners = make([]*platform.Runner, 1)
	soak.startRunner(0)
	t.Cleanup(soak.runners[0].Crash)
	soak.frontAddresses, soak.peerAddresses = []string{soak.freeAddress()}, []string{soak.freeAddress(), soak.freeAddress()}
	soak.processes, soak.readyAddresses = make([]*process.Process, 1), make([]string, 1)
	soak.startEntry(0)
	t.Cleanup(soak.processes[0].Kill)
	soak.awaitServing(0)
	return soak
}

// startLongAnswers starts a server whose answers are long.
func (soak *soak) startLongAnswers() {
	server := platform.NewLongServer("i-long")
	soak.t.Cleanup(server.Close)
	soak.putServer("i-long", server.Item("long", "a"))
}

// Guards against clients that end an entry by what they make it hold, at its address for callers. Each kind has an entry of its own.
func TestUntrustedCallersDoNotEndAnEntry(t *testing.T) {
	for _, crowd := range crowds() {
		t.Run(crowd.name, func(t *testing.T) {
			soak := newLimitedEntry(t)
			soak.startLongAnswers()
			checkCrowd(t, crowd, soak.frontAddresses[0], soak.processes[0], func() { soak.awaitServing(0) })
		})
	}
}

// Guards against the same at the address for the balancer and the metrics.
func TestUntrustedClientsOfTheReadyAddressDoNotEndAnEntry(t *testing.T) {
	for _, crowd := range named("heads_over_the_limit", "heads_without_end", "empty_lines_between_requests", "very_many_fields", "very_many_fields_before_a_body",
		"bodies_that_do_not_end", "idle_connections", "idle_connections_after_a_request") {
		t.Run(crowd.name, func(t *testing.T) {
			soak := newLimitedEntry(t)
			checkCrowd(t, crowd, soak.readyAddresses[0], soak.processes[0], func() {
				soak.awaitServing(0)
				require.NotEmpty(t, scrape(t, soak.readyAddresses[0]))
			})
		})
	}
}

// Guards against the same at the address for peers.
func TestUntrustedClientsOfThePeerAddressDoNotEndAnEntry(t *testing.T) {
	for _, crowd := range append(named("heads_without_end", "idle_connections"), crowd{"frames_without_end", crowdClients, repeats("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", strings.Repeat("\x00\x00\x00\x04\x00\x00\x00\x00\x00", 1<<10))}) {
		t.Run(crowd.name, func(t *testing.T) {
			soak := newLimitedEntry(t)
			checkCrowd(t, crowd, soak.peerAddresses[0], soak.processes[0], func() { soak.awaitServing(0) })
		})
	}
}
