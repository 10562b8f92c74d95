package httpclient

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
)

// body is the body of an answer. An error of its framing is a [MalformedError], since it shows garbage of the server, and not that the
// server has crashed.
type body struct {
	io.ReadCloser
	// callErr returns why the call has ended, nil before its end.
	callErr func() error
	// ended returns an error if the end of the body is not that of the answer, nil for a body whose end is told by its framing.
	ended func() error
}

// Read implements [io.Reader].
func (body *body) Read(piece []byte) (int, error) {
	count, err := body.ReadCloser.Read(piece)
	if errors.Is(err, io.EOF) && body.ended != nil {
		if endErr := body.ended(); endErr != nil {
			return count, endErr
		}
	}
	if err == nil || body.callErr() != nil || connectionEnded(err) {
		return count, err
	}
	reason := err.Error()
	return count, &MalformedError{Detail: fmt.Sprintf("framing of the body: %q", reason[:min(len(reason), maxDetailBytes)])}
}

// connectionEnded reports whether an error of reading a body is due to the end of the body or of the connection.
//
// The errors of net/http's reader of chunks have no common type. All that are not due to the connection are of the framing.
func connectionEnded(err error) bool {
	var connectionErr net.Error
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &connectionErr) {
		return true
	}
	return EndedInTrailer(err)
}

// EndedInTrailer reports whether an error of net/http's reader of chunks means that the connection ended inside a trailer. Its two errors for
// that are known by their texts only. The second one also stands for a trailer of over 4 KB, which is rare enough to be taken for the end of a
// connection.
func EndedInTrailer(err error) bool {
	return strings.Contains(err.Error(), "EOF reading trailer") || strings.Contains(err.Error(), "long trailer")
}
