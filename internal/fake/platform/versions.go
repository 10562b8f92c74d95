package platform

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"
)

// PutRollout writes an order to move a service to a version within some seconds, as operators do.
func (store *Store) PutRollout(service, version string, seconds int) {
	store.Put("op/rollout/"+service, fmt.Appendf(nil, `{"Service":%q,"To":%q,"DurationS":%d}`, service, version, seconds))
}

// RolloutStatus returns the status of the order of a service, empty for none.
func (store *Store) RolloutStatus(service string) string {
	return string(store.state.Load().items["status/rollout/"+service].Value)
}

// Behaviour is how the servers of a software version answer. The zero value answers all calls in time.
type Behaviour struct {
	// Fails is the part of the answers that are a 500, and Breaks the part that break off.
	Fails, Breaks float64
	// Slowdown is the factor by which answers take longer, 0 for none.
	Slowdown float64
	// Route restricts the faults to calls of a route, empty for all.
	Route string
	// After is the time since the start of the servers at which the faults begin.
	After time.Duration
	// LoadAbove is the number of calls in progress at a server above which the faults show.
	LoadAbove int
}

// VersionedServer is a stand-in for a backend server of a version, which answers calls without a network.
type VersionedServer struct {
	id, version string
	behaviour   Behaviour
	work        time.Duration
	startedAt   time.Time
	inProgress  atomic.Int32
}

// NewVersionedServer returns a server that starts now and takes about work for an answer.
func NewVersionedServer(id, version string, behaviour Behaviour, work time.Duration) *VersionedServer {
	return &VersionedServer{id: id, version: version, behaviour: behaviour, work: work, startedAt: time.Now()}
}

// Version returns the version of the server's software.
func (server *VersionedServer) Version() string { return server.version }

// InProgress returns the number of calls in progress.
func (server *VersionedServer) InProgress() int { return int(server.inProgress.Load()) }

// Item returns the value that registers the server in the metadata store, as JSON.
func (server *VersionedServer) Item(service, address, state string) []byte {
	return fmt.Appendf(nil, `{"Service":%q,"Address":%q,"Zone":"a","Version":%q,"Slots":8,"State":%q,"ColdRemainingMs":0,"Sequence":1,"born":%d}`,
		service, address, server.version, state, server.startedAt.UnixMilli())
}

// errBroken is the error of an answer that breaks off.
var errBroken = errors.New("connection reset")

// Answer runs a call of a route and returns the status and body of the answer, and whether it is one of those that the behaviour
// spoils.
func (server *VersionedServer) Answer(route string) (status int, body io.Reader, bad bool) {
	load := int(server.inProgress.Add(1))
	defer server.inProgress.Add(-1)
	behaviour, work := server.behaviour, server.work
	if behaviour.Route != "" && behaviour.Route != route || time.Since(server.startedAt) < behaviour.After || load <= behaviour.LoadAbove {
		behaviour = Behaviour{}
	}
	work = time.Duration((0.5 + rand.Float64()) * float64(work))
	if behaviour.Slowdown > 0 {
		work = time.Duration(behaviour.Slowdown * float64(work))
	}
	time.Sleep(work) // Virtual time where the caller runs in testing/synctest.
	switch draw := rand.Float64(); {
	case draw < behaviour.Fails:
		return 500, strings.NewReader("error"), true
	case draw < behaviour.Fails+behaviour.Breaks:
		return 200, io.MultiReader(strings.NewReader("o"), brokenReader{}), true
	}
	return 200, strings.NewReader("ok"), behaviour.Slowdown > 1
}

type brokenReader struct{}

// Read implements [io.Reader].
func (brokenReader brokenReader) Read([]byte) (int, error) { return 0, errBroken }
