package tcp

import (
	"runtime"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// smallRequest is the memory in bytes up to which a request is taken whatever garbage there is.
	smallRequest = 24 << 10
	// collectInterval is the shortest time between two collections that large requests ask for.
	collectInterval = 200 * time.Millisecond
	// requestCollectWait is how long a large request waits for collections; it is longer than two of them with the time between. A new
	// connection, which holds up those behind it, waits for connectionCollectWait.
	requestCollectWait    = time.Second
	connectionCollectWait = 200 * time.Millisecond
)

// garbage is the memory of large requests that have ended and that the runtime has not collected yet. Without it, clients that connect again
// and again would fill the memory faster than the runtime collects it.
type garbage struct {
	// bytes is that memory.
	bytes atomic.Int64
	mutex sync.Mutex
	// collection is closed when the collection that has been asked for has ended, nil without one, and collectedAt is the end of the last one.
	collection  chan struct{}
	collectedAt time.Time
}

// collect asks for a collection, and returns a channel that is closed once it has ended.
func (garbage *garbage) collect() <-chan struct{} {
	garbage.mutex.Lock()
	defer garbage.mutex.Unlock()
	if garbage.collection == nil {
		garbage.collection = make(chan struct{})
		time.AfterFunc(time.Until(garbage.collectedAt.Add(collectInterval)), garbage.run)
	}
	return garbage.collection
}

// isDue reports whether a collection may begin at once.
func (garbage *garbage) isDue() bool {
	garbage.mutex.Lock()
	defer garbage.mutex.Unlock()
	return garbage.collection == nil && time.Since(garbage.collectedAt) >= collectInterval
}

// run runs a collection. It has ended when the cleanups of what it found have run, with that of an object which nothing refers to.
func (garbage *garbage) run() {
	runtime.AddCleanup(new(connState), func(end func()) { end() }, garbage.end)
	runtime.GC()
}

// end records the end of a collection.
func (garbage *garbage) end() {
	garbage.mutex.Lock()
	defer garbage.mutex.Unlock()
	close(garbage.collection)
	garbage.collection, garbage.collectedAt = nil, time.Now()
}

// hasGarbage reports whether what has ended or is closed leaves no room for another large request, and sees to it that garbage is collected.
func (guard *Guard) hasGarbage() bool {
	if !guard.exceededBy(guard.Ended()) {
		return false
	}
	if guard.garbage.bytes.Load() > 0 {
		guard.garbage.collect()
	}
	return true
}

// exceededBy reports whether some bytes of what has ended leave no room beside what the connections hold.
func (guard *Guard) exceededBy(ended int64) bool {
	return guard.limits.Load().ExceededByEnded(guard.bytes.Load(), ended)
}

// awaitCollection reports whether garbage leaves room for a large request. It waits for collections if there is none, as long as the channel
// is open; one collection may come too early for a request whose server has just answered it.
func (guard *Guard) awaitCollection(closed <-chan struct{}, wait time.Duration) bool {
	if !guard.hasGarbage() {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for guard.hasGarbage() {
		select {
		case <-guard.garbage.collect():
		case <-closed:
			return false
		case <-timer.C:
			return false
		}
	}
	return true
}

// countGarbage counts the memory of a request that has ended as garbage until the runtime has collected owner, which is reachable as long as
// the memory is.
func countGarbage[T any](guard *Guard, owner *T, size int64) {
	if size <= smallRequest {
		return
	}
	guard.garbage.bytes.Add(size)
	runtime.AddCleanup(owner, func(size int64) { guard.garbage.bytes.Add(-size) }, size)
}

// countRequestGarbage counts the memory of a request that has ended as garbage until the next collection, since nothing refers to the owner.
func (guard *Guard) countRequestGarbage(size int64) { countGarbage(guard, new(connState), size) }
