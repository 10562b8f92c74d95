package backend

import (
	"strconv"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// usualHeadBytes is a size that most heads fit into without another allocation.
const usualHeadBytes = 1 << 10

// encodeHead returns the request line and the header of a call, with capacity for a body that is written with it.
func encodeHead(request call.Request, fields []call.HeaderField) []byte {
	opaque := request.Opaque
	head := make([]byte, 0, usualHeadBytes+min(len(opaque.Body), maxSyncBodyBytes))
	head = append(head, opaque.Method...)
	head = append(head, ' ')
	head = append(head, opaque.Target...)
	head = append(head, " HTTP/1.1\r\nHost: "...)
	head = append(head, opaque.Host...)
	head = append(head, "\r\n"...)
	for _, field := range fields {
		head = append(head, field.Name...)
		head = append(head, ": "...)
		head = append(head, field.Value...)
		head = append(head, "\r\n"...)
	}
	if len(opaque.Body) > 0 || opaque.Method == "POST" || opaque.Method == "PUT" || opaque.Method == "PATCH" {
		head = append(head, "Content-Length: "...)
		head = strconv.AppendInt(head, int64(len(opaque.Body)), 10)
		head = append(head, "\r\n"...)
	}
	return append(head, "\r\n"...)
}
