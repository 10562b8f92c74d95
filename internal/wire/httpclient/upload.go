package httpclient

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
)

// upload is whether a request was written whole.
//
// The kernel returns the error of a connection once. If the write of a request sees a reset first, reading the answer then ends in order, and
// a part of an answer without a length looks complete.
type upload struct {
	// written has the result of the latest write of the request, which net/http may send again on another connection.
	written chan error
}

func newUpload() upload { return upload{written: make(chan error, 1)} }

// withTrace returns a context for the request, which records the result of its write.
func (upload upload) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		select {
		case <-upload.written: //nolint:errcheck // the result of an earlier connection
		default:
		}
		select {
		case upload.written <- info.Err:
		default:
		}
	}})
}

// await returns an error if the request was not written whole. net/http closes the connection at the end of such an answer, which ends a write
// that still waits.
func (upload upload) await(ctx context.Context) error {
	select {
	case err := <-upload.written:
		upload.written <- err // for a second read at the end
		if err != nil {
			return fmt.Errorf("answer that ends with the connection, while the request was written: %w", errors.Join(io.ErrUnexpectedEOF, err))
		}
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// endsWithConnection reports whether an answer has neither a length nor chunks.
func endsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody
}
