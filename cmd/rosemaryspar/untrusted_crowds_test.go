package main_test

import (
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/fake/platform"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/process"
)

// The sizes of the crowds of untrusted clients.
const (
	// crowdClients is the number of clients of a crowd, each with one connection at a time.
	crowdClients = 400
	// idleClients is the number of clients that only hold a connection, above crowdFds so that not all of them can be kept.
	idleClients = 800
	// crowdTime is how long a crowd goes on, and crowdSampleTime the time between two samples of the process. Both are real time, since the
	// process is a separate one.
	crowdTime       = 2 * time.Second
	crowdSampleTime = 10 * time.Millisecond
	// headChunk is a part of a head that is smaller than the default limit of a head, in bytes.
	headChunk = 60 << 10
	// severalFormsName is the name of the crowds of severalForms.
	severalFormsName = "several_forms_at_once"
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
	untrusted := []crowd{
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
		{"bodies_over_the_limit", crowdClients, sendsAndReads(orderWith("Content-Length: 100000000\r\n") + strings.Repeat("x", 1<<20))},
		{"bodies_without_a_route", crowdClients, sendsAndReads("POST /unknown HTTP/1.1\r\nHost: h\r\nContent-Length: 4000000\r\n\r\n" + strings.Repeat("x", 1<<20))},
		{"large_bodies", crowdClients, sendsAndReads(orderWith("Content-Length: 4000000\r\n") + strings.Repeat("x", 4_000_000))},
		{"large_bodies_in_chunks", crowdClients, repeats(orderWith("Transfer-Encoding: chunked\r\n"), "40000\r\n"+strings.Repeat("x", 256<<10)+"\r\n")},
		{"pipelined_requests", crowdClients, repeats("", strings.Repeat("GET /stock/x HTTP/1.1\r\nHost: soak.example\r\n\r\n", 100))},
		{"unread_metrics", crowdClients, repeats("", strings.Repeat("GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n", 100))},
		{"unread_long_answers", crowdClients, sendsAndWaits(orderTo("/stock/long", ""))},
		{"unread_streams", crowdClients, sendsAndWaits(orderTo("/stream/long", ""))},
		{"idle_connections", idleClients, sendsAndWaits("")},
		{"idle_connections_after_a_request", idleClients, sendsAndReads("GET /stock/x HTTP/1.1\r\nHost: soak.example\r\n\r\n")},
	}
	return append(untrusted, severalForms(untrusted))
}

// severalForms returns a crowd whose clients do in turn what those of some crowds do.
func severalForms(crowds []crowd) crowd {
	var next atomic.Int64
	return crowd{severalFormsName, crowdClients, func(conn net.Conn) {
		crowds[int(next.Add(1))%len(crowds)].client(conn)
	}}
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
		time.Sleep(crowdTime) // No condition ends it: the client holds the connection for the whole crowd.
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
			time.Sleep(time.Millisecond) // Separate packets: the kernel would send the bytes together.
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
					time.Sleep(crowdSampleTime) // Bounds the rate of the attempts.
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
