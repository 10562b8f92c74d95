package intake_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/intake"
)

// Guards against requests whose end is not found, so that they count for ever or the next one is not counted, and parts without end that are
// taken, however the bytes are cut.
func TestRequestsAreFramed(t *testing.T) {
	limits := intake.RequestLimits{Head: 1 << 10, Body: 1 << 10}
	const post = "POST / HTTP/1.1\r\nHost: h\r\n"
	for name, row := range map[string]struct {
		text  string
		whole int
		fault intake.Fault
	}{
		"no body":                  {"GET / HTTP/1.1\r\nHost: h\r\n\r\n", 1, intake.FaultNone},
		"after an empty line":      {"\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n", 1, intake.FaultNone},
		"three in a row":           {strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 3), 3, intake.FaultNone},
		"a length":                 {post + "Content-Length: 3\r\n\r\nabc" + post + "\r\n", 2, intake.FaultNone},
		"a body that is not whole": {post + "content-length:4\r\n\r\nabc", 0, intake.FaultNone},
		"chunks":                   {post + "Transfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\nA\r\n0123456789\r\n0\r\nT: x\r\n\r\n" + post + "\r\n", 2, intake.FaultNone},
		"head without end":         {post + strings.Repeat("a: b\r\n", 4<<10), 0, intake.FaultTooLarge},
		"extension without end":    {post + "Transfer-Encoding: chunked\r\n\r\n1;" + strings.Repeat("x", 1000), 0, intake.FaultChunkLine},
		"size that is no number":   {post + "Transfer-Encoding: chunked\r\n\r\nx\r\n", 0, intake.FaultChunkLine},
		"size over the limit":      {post + "Transfer-Encoding: chunked\r\n\r\nfffff\r\n", 0, intake.FaultChunkLine},
		"trailer without end":      {post + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("a: b\r\n", 1<<10), 0, intake.FaultTrailer},
		"empty lines without end":  {strings.Repeat("\r\n", 100), 0, intake.FaultEmptyLines},
	} {
		for _, size := range []int{1, 7, 1 << 20} {
			request, whole, fault := intake.Request{}, 0, intake.FaultNone
			for rest := []byte(row.text); len(rest) > 0 && fault == intake.FaultNone; {
				piece := rest[:min(size, len(rest))]
				rest = rest[len(piece):]
				for len(piece) > 0 && fault == intake.FaultNone {
					var isWhole bool
					if request, piece, isWhole, fault = request.WithBytes(piece, limits); isWhole {
						request, whole = intake.Request{}, whole+1
					}
				}
			}
			assert.Equal(t, row.whole, whole, "%s in pieces of %d bytes", name, size)
			assert.Equal(t, row.fault, fault, "%s in pieces of %d bytes", name, size)
		}
	}
}

// Guards against bodies that are announced and not sent: the server takes their memory when it knows their length.
func TestAnnouncedBodiesCount(t *testing.T) {
	limits := intake.RequestLimits{Head: 1 << 10, Body: 1 << 20}
	for _, text := range []string{"Content-Length: 1000000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\nF4240\r\n"} {
		request, _, _, fault := intake.Request{}.WithBytes([]byte("POST / HTTP/1.1\r\n"+text), limits)
		assert.Equal(t, intake.FaultNone, fault)
		assert.Greater(t, request.Memory(), int64(1_000_000))
	}
}
