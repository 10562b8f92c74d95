package backend_test

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/wire/backend"
)

// Guards against garbage of any form at any place of an answer that is returned together with an error, that ends the reader, or after which
// the connection carries another call. What is returned with an error of the framing is checked by fetchRaw.
func TestRandomGarbageInTheFraming(t *testing.T) {
	const cases = 300
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, 0))
	alphabet := []string{"\r\n", "\n", "0", "a", "f", ";", " ", ":", "\xff", "\x00", "HTTP/1.1 200 OK\r\n", "Id: ID\r\n", "0\r\n\r\n", "garbage"}
	answers := []string{
		chunkedHead + chunkOne + chunksRest,
		"HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 33\r\n\r\n" + soundBody,
	}
	for number := range cases {
		answer := answers[number%len(answers)]
		var garbage strings.Builder
		for range 1 + random.IntN(6) {
			garbage.WriteString(alphabet[random.IntN(len(alphabet))])
		}
		at := random.IntN(len(answer))
		pieces := []string{answer[:at] + garbage.String(), answer[at:]}
		if random.IntN(2) == 0 {
			pieces = []string{strings.Join(pieces, "")}
		}
		raw := &rawServer{pieces: pieces, end: "closed"}
		server, client := raw.serve(t), backend.New(codec{})
		_, _, first := fetchRaw(t, client, server, "r0", ample)
		require.False(t, t.Failed(), "case %d: %q", number, pieces)
		second, _, err := fetchRaw(t, client, server, "r1", ample)
		if first == nil && err != nil {
			continue // The rest of the first answer may arrive while the next call is sent, which fails then.
		}
		assert.Equal(t, "sound", second, "case %d: %q, %v", number, pieces, err)
		if first != nil {
			assert.Less(t, len(first.Error()), 1<<10)
			assert.False(t, raw.reused.Load(), "case %d: %q", number, pieces)
		}
	}
}
