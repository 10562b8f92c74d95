package intake

import (
	"bytes"
	"strconv"
	"strings"
)

const (
	// maxTrailerBytes bounds the trailer of a body in bytes, and maxChunkLineBytes the line with the size of a chunk.
	maxTrailerBytes   = 4 << 10
	maxChunkLineBytes = 256
	// lineBytes is how much of each line is kept: enough for the fields that say how long a body is.
	lineBytes = 128
	// bodyCost is the memory of each byte of a body: in the buffer of the connection, in that of the body, and in what is decoded.
	bodyCost = 3
	// framingCost is the memory of each byte between chunks, which stays in small buffers until the request ends.
	framingCost = 4
)

// The further faults of whole requests.
const (
	FaultTrailer   Fault = "TrailerTooLarge"
	FaultChunkLine Fault = "ChunkLine"
)

// part is the part of a request that arrives next.
type part string

const (
	partHead      part = "" // the zero value is the beginning
	partBody      part = "Body"
	partChunkLine part = "ChunkLine"
	partChunk     part = "Chunk"
	partTrailer   part = "Trailer"
)

// RequestLimits bound one request, in bytes.
type RequestLimits struct {
	Head int64
	Body int64
}

// Request is the part of a request that has arrived: its head, and its body with a length or in chunks. It is immutable; the zero value is
// the beginning.
//
// A server that buffers bodies takes the memory of a body as soon as its length is known, so that what is announced counts.
type Request struct {
	head      Head
	part      part
	line      string // the beginning of the line that arrives
	lineSize  int64
	length    int64 // the Content-Length
	isChunked bool
	remaining int64 // of the body or the chunk
	announced int64 // the bytes of the body that were announced
	framing   int64 // the bytes between chunks
	trailer   int64
}

// WithBytes returns the request after further bytes up to its end, the rest of the bytes, and whether the request is whole.
func (request Request) WithBytes(piece []byte, limits RequestLimits) (next Request, rest []byte, isWhole bool, fault Fault) {
	for len(piece) > 0 {
		if request.part == partBody || request.part == partChunk {
			taken := min(int64(len(piece)), request.remaining)
			request.remaining -= taken
			piece = piece[taken:]
			if request.remaining > 0 {
				continue
			}
			if request.part == partBody {
				return request, piece, true, FaultNone
			}
			request.part = partChunkLine
			continue
		}
		end := bytes.IndexByte(piece, '\n') + 1
		isLine := end > 0
		if !isLine {
			end = len(piece)
		}
		if request, fault = request.withLinePiece(piece[:end], limits); fault != FaultNone {
			return request, nil, false, fault
		}
		piece = piece[end:]
		if !isLine {
			continue
		}
		if request, isWhole, fault = request.withLineEnd(limits); isWhole || fault != FaultNone {
			return request, piece, isWhole, fault
		}
	}
	return request, nil, false, FaultNone
}

// withLinePiece returns the request after a piece of a line.
func (request Request) withLinePiece(piece []byte, limits RequestLimits) (Request, Fault) {
	fault := FaultNone
	request.lineSize += int64(len(piece))
	request.line += string(piece[:min(len(piece), lineBytes-len(request.line))])
	switch request.part {
	case partHead:
		request.head, fault = request.head.WithBytes(piece, limits.Head)
	case partChunkLine:
		request.framing += int64(len(piece))
		if request.lineSize > maxChunkLineBytes {
			fault = FaultChunkLine
		}
	case partTrailer:
		request.trailer += int64(len(piece))
		if request.trailer > maxTrailerBytes {
			fault = FaultTrailer
		}
	case partBody, partChunk:
	}
	return request, fault
}

// withLineEnd returns the request after the end of a line, and whether the request is whole.
func (request Request) withLineEnd(limits RequestLimits) (next Request, isWhole bool, fault Fault) {
	line := strings.TrimRight(request.line, "\r\n")
	request.line, request.lineSize = "", 0
	switch request.part {
	case partHead:
		if line != "" {
			return request.withField(line), false, FaultNone
		}
		if request.head.bytes == 0 { // an empty line before the request
			return request, false, FaultNone
		}
		return request.withBody(limits)
	case partChunkLine:
		digits, _, _ := strings.Cut(line, ";")
		size, err := strconv.ParseInt(strings.TrimSpace(digits), 16, 64)
		if err != nil || size < 0 || size > limits.Body {
			return request, false, FaultChunkLine
		}
		if size == 0 {
			request.part = partTrailer
			return request, false, FaultNone
		}
		request.part, request.remaining = partChunk, size+int64(len("\r\n"))
		request.announced += size
	case partTrailer:
		return request, line == "", FaultNone
	case partBody, partChunk:
	}
	return request, false, FaultNone
}

// withField returns the request after a field of its head.
func (request Request) withField(line string) Request {
	name, value, _ := strings.Cut(line, ":")
	switch strings.ToLower(strings.TrimSpace(name)) {
	case "content-length":
		if length, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64); err == nil {
			request.length = max(request.length, length)
		}
	case "transfer-encoding":
		request.isChunked = true
	}
	return request
}

// withBody returns the request after its head, and whether it is whole. A body over the limit is refused by the server, which reads none of it.
func (request Request) withBody(limits RequestLimits) (next Request, isWhole bool, fault Fault) {
	switch {
	case request.isChunked:
		request.part = partChunkLine
	case request.length == 0:
		return request, true, FaultNone
	default:
		request.part, request.remaining = partBody, request.length
		if request.length <= limits.Body {
			request.announced = request.length
		}
	}
	return request, false, FaultNone
}

// Memory returns the memory that the request takes in bytes.
func (request Request) Memory() int64 {
	return request.head.Memory() + bodyCost*request.announced + framingCost*(request.framing+request.trailer)
}
