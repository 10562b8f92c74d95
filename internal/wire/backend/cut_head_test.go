package backend_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/backend"
)

// Guards against an answer whose server stops in the middle of its head and closes, and that counts as an answer with a short or
// empty body: on a new connection, on one that was used before, and behind a late answer to another call.
func TestAnswerWhoseHeadIsCutIsNoAnswer(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 5\r\n\r\nhello"
	late := strings.Replace(sound, "ID", "other", 1)
	heads := []string{
		"HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 15\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nId: ID\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nId: ID\r\nX-Load: 1,2,\r\n 3\r\n\r\n",
		"HTTP/1.0 200 OK\nId: ID\nConnection: close\n\n",
	}
	for number, head := range heads {
		t.Run(fmt.Sprint("head_", number), func(t *testing.T) {
			t.Parallel()
			for cut := range len(head) {
				for before, script := range map[string]*script{
					"nothing":               {answers: []string{head[:cut]}, end: "close"},
					"an answer":             {answers: []string{sound, head[:cut]}, end: "close"},
					"an answer, then late ": {answers: []string{sound, late + head[:cut]}, end: "close"},
				} {
					server, client := serve(t, script), backend.New(codec{})
					for range len(script.answers) - 1 {
						body, err := fetch(client, server, request("r0", 1))
						require.NoError(t, err)
						require.Equal(t, "hello", body)
					}
					answer, failure := client.Open(t.Context(), server, request("r1", 1), nil)
					if !assert.NotNil(t, failure, "%q behind %s", head[:cut], before) {
						answer.Close()
						continue
					}
					assert.Equal(t, call.RanUnknown, failure.Ran, "%q behind %s", head[:cut], before)
				}
			}
		})
	}
}
