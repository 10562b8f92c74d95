//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"sync/atomic"
	"time"
)

// The exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// cases are the cases by name, added by the file of each. A case gets its record and whether it causes its disruption, and
// reports whether the rule was broken.
var cases = map[string]func(record *record, trouble bool) bool{}

func main() {
	runtime.LockOSThread()
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		cannotRun("usage: standins CASE FOLDER")
	}
	record := newRecord(filepath.Join(os.Args[2], "record.txt"))
	trouble := os.Getenv("TROUBLE") != "0"
	record.add("case %s, trouble %v", os.Args[1], trouble)
	broken := cases[os.Args[1]](record, trouble)
	record.add("broken: %v", broken)
	record.close()
	if broken {
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}

// record is the file in which a case writes what was sent, answered and run.
// broken and served are set by cases.
type record struct {
	broken atomic.Bool
	served atomic.Int64
	mutex  sync.Mutex
	file   *os.File
	start  time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	must(err)
	return &record{file: file, start: time.Now()}
}

func (record *record) add(format string, arguments ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	fmt.Fprintf(record.file, "%8.3f s  %s\n", time.Since(record.start).Seconds(), fmt.Sprintf(format, arguments...))
}

func (record *record) close() { _ = record.file.Close() }

func must(err error) {
	if err != nil {
		cannotRun("%v", err)
	}
}

func cannotRun(format string, arguments ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", arguments...)
	os.Exit(exitCannotRun)
}

// cloud is the platform's API for duties, with one listener for each entry.
type cloud struct{ record *record }

func newCloud(record *record) *cloud { return &cloud{record: record} }

// listenFor returns the address at which an entry reaches the cloud.
func (cloud *cloud) listenFor(entry string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	server := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		cloud.record.add("cloud: %s %s by %s, fence %s", request.Method, request.URL.Path, entry, request.Header.Get("X-Rosemaryspar-Fence-Token"))
		writer.WriteHeader(http.StatusOK)
	})}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String()
}
