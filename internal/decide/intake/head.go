package intake

import "bytes"

const (
	// maxEmptyBytes is the number of bytes of empty lines that may stand before a request. Some clients send one empty line.
	maxEmptyBytes = 32
	// headMargin is added to the limit of the fields, in bytes: for the request line, the framing, and the beginning of a body or of the
	// next request that is read together with the head.
	headMargin = 16 << 10
	// byteCost is the memory of each byte of a head in bytes: it is kept in the buffer of a line, which doubles, and in strings.
	byteCost = 2
	// fieldCost is the memory of each field of a head in bytes, for its entry in a map that doubles.
	fieldCost = 320
)

// Fault is what is wrong with the head of a request.
type Fault string

// The faults.
const (
	FaultNone       Fault = ""
	FaultTooLarge   Fault = "HeadTooLarge"
	FaultEmptyLines Fault = "EmptyLines"
)

// Head is the part of the head of a request that has arrived. It is immutable; the zero value is the beginning.
type Head struct {
	// empty is the number of bytes of empty lines before the request, and bytes and lines count what follows.
	empty, bytes, lines int64
}

// WithBytes returns the head after further bytes, and what is wrong with it if its fields may have at most limit bytes.
func (head Head) WithBytes(piece []byte, limit int64) (Head, Fault) {
	if head.bytes == 0 {
		rest := bytes.TrimLeft(piece, "\r\n")
		head.empty += int64(len(piece) - len(rest))
		piece = rest
	}
	head.bytes += int64(len(piece))
	head.lines += int64(bytes.Count(piece, []byte{'\n'}))
	switch {
	case head.bytes > limit+headMargin:
		return head, FaultTooLarge
	case head.empty > maxEmptyBytes:
		return head, FaultEmptyLines
	}
	return head, FaultNone
}

// Memory returns the memory that the head takes once it is parsed, in bytes.
func (head Head) Memory() int64 { return byteCost*head.bytes + fieldCost*head.lines }
