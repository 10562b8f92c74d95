package tcp

import (
	"errors"
	"io"
)

const (
	// defaultBodyBytes bounds the bodies of all requests together, in bytes, where the settings contain no limit of the memory.
	defaultBodyBytes = 64 << 20
	// firstBufferBytes is the size of the first buffer for a body of unknown length, and bufferGrowth the factor to the next size.
	firstBufferBytes = 16 << 10
	bufferGrowth     = 16
)

// ErrNoRoom means that the requests of all connections use up the bound of their memory.
var ErrNoRoom = errors.New("the requests in progress use up the memory of the entry")

// Body is the memory of the body of a request, which counts for its connection. It is for one thread at a time.
type Body struct {
	conn *Conn
	// done ends a wait for room.
	done <-chan struct{}
	// byteCost is the memory of each byte of the body in bytes, and held what counts.
	byteCost int64
	held     int64
	// buffer is the latest buffer of the body.
	buffer []byte
}

// NewBody returns the memory of a body of which each byte takes some bytes. Nothing counts for a connection that is nil.
func (conn *Conn) NewBody(byteCost int64) *Body {
	body := &Body{conn: conn, byteCost: byteCost}
	if conn != nil {
		body.done = conn.closed
	}
	return body
}

// WithDone returns the memory of a body whose request ends with a channel, which may be before its connection is closed.
func (body *Body) WithDone(done <-chan struct{}) *Body {
	changed := *body
	changed.done = done
	return &changed
}

// Hold counts further memory in bytes, or returns [ErrNoRoom].
func (body *Body) Hold(bytes int64) error {
	if body.conn == nil {
		return nil
	}
	guard := body.conn.guard
	if guard.bodies.Add(bytes) > guard.bodyLimit.Load() || !body.conn.addBody(bytes, body.done) {
		guard.bodies.Add(-bytes)
		return ErrNoRoom
	}
	body.held += bytes
	return nil
}

// giveBack counts that some bytes are no longer held.
func (body *Body) giveBack(bytes int64) {
	if body.conn == nil {
		return
	}
	body.held -= bytes
	body.conn.guard.bodies.Add(-bytes)
	body.conn.giveBack(bytes, 0)
}

// Release gives everything back. The buffer is garbage once nothing of the request uses it.
func (body *Body) Release() {
	body.replace(nil)
	body.giveBack(body.held)
}

// allocate counts a buffer and allocates it, or returns [ErrNoRoom].
func (body *Body) allocate(size int) ([]byte, error) {
	if err := body.Hold(int64(size) * body.byteCost); err != nil {
		return nil, err
	}
	return make([]byte, size), nil
}

// replace replaces the buffer by one that counts already. The former one is garbage until the runtime has collected it.
func (body *Body) replace(buffer []byte) {
	former := body.buffer
	body.buffer = buffer
	body.giveBack(body.cost(former))
	if body.conn != nil && cap(former) > 0 {
		countGarbage(body.conn.guard, &former[:1][0], body.cost(former))
	}
}

// cost returns the memory that counts for a buffer, in bytes.
func (body *Body) cost(buffer []byte) int64 { return int64(cap(buffer)) * body.byteCost }

// ReadAll reads a body of a length, negative if unknown, of at most limit bytes, beyond which the reader must fail. The result is valid after
// [Body.Release] too.
func (body *Body) ReadAll(reader io.Reader, length int64, limit int) ([]byte, error) {
	switch {
	case length == 0:
		return nil, nil
	case length < 0:
		return body.readUnknownLength(reader, limit)
	}
	return body.readKnownLength(reader, int(length))
}

// readKnownLength reads a body of a length up to its end.
func (body *Body) readKnownLength(reader io.Reader, length int) ([]byte, error) {
	buffer, err := body.allocate(length)
	if err != nil {
		return nil, err
	}
	body.replace(buffer)
	if _, err := io.ReadFull(reader, buffer); err != nil {
		return nil, err
	}
	return buffer, readEnd(reader)
}

// readUnknownLength reads a body up to its end, with buffers whose sizes grow to limit. Each counts before it is allocated, and what the body
// does not use is given back.
func (body *Body) readUnknownLength(reader io.Reader, limit int) ([]byte, error) {
	var content []byte
	for size := min(firstBufferBytes, limit); ; size = min(bufferGrowth*size, limit) {
		buffer, err := body.allocate(size)
		if err != nil {
			return nil, err
		}
		used := copy(buffer, content)
		body.replace(buffer)
		count, ended, err := fill(reader, buffer[used:])
		content = buffer[:used+count]
		switch {
		case err != nil:
			return nil, err
		case ended:
			return body.shrink(content), nil
		case size == limit:
			return content, readEnd(reader)
		}
	}
}

// shrink moves a content to a buffer of its size, which is part of what the former one counts.
func (body *Body) shrink(content []byte) []byte {
	exact := append(make([]byte, 0, len(content)), content...)
	body.giveBack(-body.cost(exact)) // This needs no room, since the former buffer gives back more.
	body.replace(exact)
	return exact
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
