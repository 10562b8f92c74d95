package ingress

import (
	"cmp"
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/tcp"
)

const (
	// bodyTimeout bounds the time in which a body arrives, for callers without a time limit.
	bodyTimeout = 30 * time.Second
	// defaultBodyBytes bounds a body until a configuration has been received.
	defaultBodyBytes = 4 << 20
	// defaultBodyMemory bounds the bodies of all calls in progress together, unless [Server.LimitBodyMemory] sets another bound.
	defaultBodyMemory = 64 << 20
	// overloadRetryAfter is the Retry-After of a call refused because of that bound.
	overloadRetryAfter = 500 * time.Millisecond
	// firstBufferBytes is the size of the first buffer for a body of unknown length, and bufferGrowth the factor to the next size.
	firstBufferBytes = 16 << 10
	bufferGrowth     = 16
)

// errNoBodyMemory means that the bodies of the calls in progress use up the bound of their memory.
var errNoBodyMemory = errors.New("the bodies of the calls in progress use up the memory of the entry")

// errNoCallMemory means that the calls of all connections use up the bounds of their memory or their connections.
var errNoCallMemory = errors.New("the connections of callers use up the memory or the descriptors of the entry")

// bodyMemory is the memory for the bodies of all calls in progress.
type bodyMemory struct {
	// reserved is the number of bytes in use, and limit their bound, 0 for defaultBodyMemory.
	reserved atomic.Int64
	limit    atomic.Int64
}

// LimitBodyMemory sets the bound in bytes of the bodies of all calls in progress together. Calls beyond it are refused.
func (server *Server) LimitBodyMemory(bytes int64) { server.bodyMemory.limit.Store(bytes) }

// reservation is the part of a [bodyMemory] that the body of one call has.
type reservation struct {
	memory *bodyMemory
	conn   *tcp.Conn
	size   int64
}

// add reserves further bytes, or returns errNoBodyMemory.
func (reservation *reservation) add(size int64) error {
	if reservation.memory.reserved.Add(size) > cmp.Or(reservation.memory.limit.Load(), defaultBodyMemory) || !reservation.conn.AddBody(size) {
		reservation.memory.reserved.Add(-size)
		return errNoBodyMemory
	}
	reservation.size += size
	return nil
}

// remove gives some of the bytes back.
func (reservation *reservation) remove(size int64) {
	reservation.memory.reserved.Add(-size)
	reservation.conn.AddBody(-size)
	reservation.size -= size
}

// release gives all bytes back.
func (reservation *reservation) release() { reservation.remove(reservation.size) }

// bodyLimit returns the limit of the size of a body in bytes.
func (server *Server) bodyLimit() int {
	if limit := server.limits.Limits().BodyBytes; limit > 0 {
		return limit
	}
	return defaultBodyBytes
}

// bodyRefusal returns the refusal of a call whose body could not be read.
func bodyRefusal(callRequest call.Request, err error) *call.Refusal {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return call.Refuse(call.ReasonTooLarge, "the body is larger than %d bytes", tooLarge.Limit)
	case errors.Is(err, errNoBodyMemory), errors.Is(err, errNoCallMemory):
		return call.Refuse(call.ReasonQueueFull, "%v", err).WithRetryAfter(overloadRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return call.Refuse(call.ReasonDeadline, "the body did not arrive within %v", bodyTime(callRequest))
	}
	return call.Refuse(call.ReasonMalformed, "the body could not be read: %v", err)
}

// bodyTime returns the time in which the body of a call must arrive: the time limit of its caller, if it gave one.
func bodyTime(callRequest call.Request) time.Duration {
	if callRequest.Opaque.TimeLimit > 0 {
		return callRequest.Opaque.TimeLimit
	}
	return bodyTimeout
}

// readBody returns the body of a call, of at most limit bytes, if it arrives in time and its memory can be reserved.
func readBody(writer http.ResponseWriter, incoming *http.Request, limit int, callRequest call.Request, reservation *reservation) ([]byte, error) {
	if incoming.ContentLength == 0 {
		return nil, nil
	}
	if incoming.ContentLength > int64(limit) {
		return nil, &http.MaxBytesError{Limit: int64(limit)}
	}
	controller := http.NewResponseController(writer)
	if err := controller.SetReadDeadline(callRequest.Arrived.Add(bodyTime(callRequest))); err != nil {
		return nil, err
	}
	reader := http.MaxBytesReader(writer, incoming.Body, int64(limit))
	var body []byte
	var err error
	if incoming.ContentLength < 0 {
		body, err = readUnknownLength(reader, limit, reservation)
	} else {
		body, err = readKnownLength(reader, incoming.ContentLength, reservation)
	}
	if err != nil {
		return nil, err
	}
	// After the deadline, net/http would take the caller for disconnected.
	return body, controller.SetReadDeadline(time.Time{})
}

// readKnownLength reads a body of a length up to its end.
func readKnownLength(reader io.Reader, length int64, reservation *reservation) ([]byte, error) {
	if err := reservation.add(length); err != nil {
		return nil, err
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(reader, body); err != nil {
		return body, err
	}
	return body, readEnd(reader)
}

// readUnknownLength reads a body up to its end, with buffers whose sizes grow to limit. Each is reserved before it is allocated, and what
// the body does not use is given back.
func readUnknownLength(reader io.Reader, limit int, reservation *reservation) ([]byte, error) {
	var body []byte
	for size := min(firstBufferBytes, limit); ; size = min(bufferGrowth*size, limit) {
		if err := reservation.add(int64(size)); err != nil {
			return nil, err
		}
		buffer := make([]byte, size)
		used := copy(buffer, body)
		reservation.remove(int64(cap(body)))
		count, ended, err := fill(reader, buffer[used:])
		body = buffer[:used+count]
		switch {
		case err != nil:
			return nil, err
		case ended:
			exact := append(make([]byte, 0, len(body)), body...)
			reservation.remove(int64(size - len(body)))
			return exact, nil
		case size == limit:
			return body, readEnd(reader)
		}
	}
}

// fill reads until the buffer is full or the body ends, and reports whether it ended.
func fill(reader io.Reader, buffer []byte) (count int, ended bool, err error) {
	for count < len(buffer) {
		read, err := reader.Read(buffer[count:])
		count += read
		switch {
		case errors.Is(err, io.EOF):
			return count, true, nil
		case err != nil:
			return count, false, err
		}
	}
	return count, false, nil
}

// readEnd reads the end of a body, after which net/http watches the connection for a disconnect.
func readEnd(reader io.Reader) error {
	_, err := reader.Read(make([]byte, 1))
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}
