package backend_test

import (
	"runtime"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/raw"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/backend"
)

// Guards against calls that take the memory of their bodies twice, which the bound of what clients make an entry hold does not count.
func TestCallDoesNotTakeTheMemoryOfItsBodyAgain(t *testing.T) {
	const body = 4 << 20
	unread := raw.NewServer(raw.AnswerAndReset("HTTP/1.1 200 OK\r\nId: r0\r\n\r\n", 0))
	t.Cleanup(unread.Close)
	server, client, sent := directory.Server{ID: "s1", Address: unread.Address()}, backend.New(codec{}), request("r0", body)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := fetch(client, server, sent)
	runtime.ReadMemStats(&after)
	assert.Error(t, err, "the answer ended with a reset")
	assert.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(body))
}
