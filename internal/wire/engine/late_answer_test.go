package engine_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/raw"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/engine"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/service"
)

// repeater is a server that answers each request with the request's id. With repeats set, it sends a second copy of each
// answer when the next request arrives on the same connection, before the answer to that.
type repeater struct {
	echoesID, repeats bool
	connections       atomic.Int64
}

func (repeater *repeater) serve(t *testing.T) string {
	t.Helper()
	server := raw.NewServer(repeater.answer)
	t.Cleanup(server.Close)
	return server.Address()
}

// answer answers the requests on one connection.
func (repeater *repeater) answer(conn net.Conn) {
	repeater.connections.Add(1)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	last := ""
	for {
		incoming, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, incoming.Body)
		if repeater.repeats {
			_, _ = io.WriteString(conn, last)
		}
		last = repeater.answerText(incoming)
		_, _ = io.WriteString(conn, last)
		if incoming.Close {
			return
		}
	}
}

// answerText returns a stream of one chunk for a completion, and otherwise a plain answer.
func (repeater *repeater) answerText(incoming *http.Request) string {
	id, echo := incoming.Header.Get("X-Request-Id"), ""
	if repeater.echoesID {
		echo = "X-Request-Id: " + id + "\r\n"
	}
	if strings.HasPrefix(incoming.URL.Path, "/v1/") {
		return strings.Replace(streamHead, "\r\n", "\r\n"+echo, 1) + event(fmt.Sprintf(`{"choices":[{"text":%q}],"offset":0,"tokens":1}`, id)) + endChunk
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", echo, len(id), id)
}

// complete and operate send a completion or an operation, and return the text of its answer.
func complete(ctx context.Context, client *engine.Client, address, id string) (string, error) {
	text := ""
	err := client.Complete(ctx, server(address), call.Request{ID: id, Completion: call.Completion{Model: "m", Prompt: "p"}},
		request.SinkFunc(func(_ context.Context, chunk call.Chunk) error {
			text += chunk.Text
			return nil
		}))
	return text, err
}

func operate(ctx context.Context, client *service.Client, address, id string) (string, error) {
	answer, err := client.Do(ctx, server(address), call.Request{ID: id, Operation: call.Operation{Method: http.MethodGet, Path: "/stock"}})
	return string(answer.Body), err
}

// clients returns the ways to send a request, by their names.
func clients() map[string]func(ctx context.Context, address, id string) (string, error) {
	engines, services := engine.New(time.Second), service.New(time.Second)
	return map[string]func(ctx context.Context, address, id string) (string, error){
		"completion": func(ctx context.Context, address, id string) (string, error) {
			return complete(ctx, engines, address, id)
		},
		"operation": func(ctx context.Context, address, id string) (string, error) {
			return operate(ctx, services, address, id)
		},
	}
}

// Guards against a second copy of an answer that arrives late, on a connection that is in use for the next request: its
// caller got the answer to another request.
func TestLateCopyOfAnAnswerIsNotTheNextAnswer(t *testing.T) {
	for _, echoesID := range []bool{true, false} {
		for name, send := range clients() {
			t.Run(fmt.Sprintf("%s, id echoed %t", name, echoesID), func(t *testing.T) {
				address := (&repeater{echoesID: echoesID, repeats: true}).serve(t)
				for i := range 6 {
					id := fmt.Sprint("r", i)
					text, err := send(t.Context(), address, id)
					if err == nil {
						assert.Equal(t, id, strings.TrimSpace(text))
						continue
					}
					var failure *call.Failure
					require.ErrorAs(t, err, &failure)
					assert.Equal(t, call.RanUnknown, failure.Ran, failure.Detail)
					assert.Equal(t, call.CauseMalformed, failure.Cause, failure.Detail)
					assert.Empty(t, text)
				}
			})
		}
	}
}

// Guards against a new connection for each request to servers whose answers can be told apart.
func TestConnectionsToServersThatEchoTheIDAreReused(t *testing.T) {
	for name, send := range clients() {
		t.Run(name, func(t *testing.T) {
			repeater := &repeater{echoesID: true}
			address := repeater.serve(t)
			for i := range 10 {
				text, err := send(t.Context(), address, fmt.Sprint("r", i))
				require.NoError(t, err)
				assert.Equal(t, fmt.Sprint("r", i), strings.TrimSpace(text))
			}
			assert.LessOrEqual(t, repeater.connections.Load(), int64(2))
		})
	}
}
