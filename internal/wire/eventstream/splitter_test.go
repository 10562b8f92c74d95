package eventstream_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/wire/eventstream"
)

// split returns the blocks of a stream that arrives in pieces, and the block that is left at its end.
func split(pieces ...string) (blocks []eventstream.Block, rest eventstream.Block) {
	splitter := eventstream.Splitter{}
	for _, piece := range pieces {
		var completed []eventstream.Block
		splitter, completed = splitter.WithPiece([]byte(piece))
		blocks = append(blocks, completed...)
	}
	return blocks, splitter.Rest()
}

// ids returns the ids of the events, "-" for one without an id.
func ids(blocks []eventstream.Block) string {
	var found []string
	for _, block := range blocks {
		switch {
		case block.IsEvent && block.ID == "":
			found = append(found, "-")
		case block.IsEvent:
			found = append(found, block.ID)
		}
	}
	return strings.Join(found, " ")
}

// Guards against a stream that was broken off inside an event and counts as complete, and against comments or other fields
// that count as the id of an event.
func TestEventsOfAStream(t *testing.T) {
	cases := []struct {
		name   string
		stream string
		ids    string
		begun  bool
	}{
		{"nothing", "", "", false},
		{"whole events", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "1 2", false},
		{"an event without its blank line", "id: 1\ndata: a\n\nid: 2\ndata: b\n", "1", true},
		{"an event without the end of its line", "id: 1\ndata: a\n\nid: 2\ndata: b", "1", true},
		{"the first letter of an event", "id: 1\ndata: a\n\ni", "1", true},
		{"an event without an id", "data: a\n\n", "-", false},
		{"a field before the id", "x-version: 3\nid: 7\ndata: a\n\n", "7", false},
		{"no space after the colon", "id:7\ndata:a\n\n", "7", false},
		{"several lines of data", "id: 7\ndata: a\ndata: id: 9\n\n", "7", false},
		{"comments", ": sound\n\nid: 1\ndata: a\n\n: sound\n", "1", false},
		{"the field retry", "retry: 100\n\nid: 1\ndata: a\n\n", "1", false},
		{"lines that end with CR LF", "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n", "1 2", false},
		{"lines that end with CR", "id: 1\rdata: a\r\rid: 2\rdata: b\r\r", "1 2", false},
		{"different ends of lines", "id: 1\ndata: a\r\n\rid: 2\r\ndata: b\n\r\n", "1 2", false},
		{"an event with CR LF without its blank line", "id: 1\r\ndata: a\r\n", "", true},
		{"a blank line that ends with CR alone", "id: 1\r\ndata: a\r\n\rid: 2\r\ndata: b\r\n\r\n", "1 2", false},
		{"an event with CR LF without the last LF", "id: 1\r\ndata: a\r\n\r", "", true},
		{"blank lines between events", "\n\nid: 1\ndata: a\n\n\n\nid: 2\ndata: b\n\n", "1 2", false},
	}
	for _, c := range cases {
		blocks, rest := split(c.stream)
		assert.Equal(t, c.ids, ids(blocks), c.name)
		assert.Equal(t, c.begun, rest.IsEvent, c.name)
	}
}

// FuzzCutsOfAStream guards against blocks that depend on how the stream was cut into pieces, and against bytes that are lost or
// changed: it cuts each stream in two at each byte, and into single bytes.
func FuzzCutsOfAStream(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\n: c\n\nretry: 1\n\nid: 2\ndata: b\ndata: c\n\n\nid: 3\nda"))
	f.Add([]byte("\n\n\ndata\n\nid\n\n:\n"))
	f.Add([]byte("id: 1\r\ndata: a\r\n\r\nid: 2\rdata: b\r\r\n\n\rid: 3\n\r\n\r\r"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		stream = stream[:min(len(stream), 200)] // The time grows with the square of the length.
		whole, wholeRest := split(string(stream))
		check := func(pieces ...string) {
			blocks, rest := split(pieces...)
			require.Equal(t, ids(whole), ids(blocks), "%q", pieces)
			require.Equal(t, wholeRest.IsEvent, rest.IsEvent, "%q", pieces)
			var joined []byte
			for _, block := range blocks {
				joined = append(joined, block.Text...)
			}
			require.Equal(t, string(stream), string(append(joined, rest.Text...)), "%q", pieces)
		}
		for cut := range len(stream) {
			check(string(stream[:cut]), string(stream[cut:]))
		}
		check(strings.Split(string(stream), "")...)
	})
}
