package eventstream_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/wire/eventstream"
)

// grammar is that of a protocol whose events may have a field "version" with a number.
var grammar = eventstream.NewGrammar("version")

// Guards against bytes that some readers take for an event, or for a part of one, and that a server never meant as such, and against
// sound events that are given up or changed.
func TestFormOfAnEvent(t *testing.T) {
	sound := []struct{ name, text, id, want string }{
		{"an event", "id: 7\ndata: a\n\n", "7", ""},
		{"no space after the colon", "id:7\ndata:a\n\n", "7", ""},
		{"lines that end with CR LF", "id: 7\r\ndata: a\r\n\r\n", "7", ""},
		{"lines that end with CR", "id: 7\rdata: a\r\r", "7", ""},
		{"the id last", "data: a\nid: 7\n\n", "7", ""},
		{"several lines of data", "id: 7\ndata: a\ndata: id: 9\ndata\ndata:\n\n", "7", ""},
		{"a name", "event: token\nid: 7\ndata: a\n\n", "7", ""},
		{"a field of the protocol", "version: 3\nid: 7\ndata: a\n\n", "7", ""},
		{"letters of other languages and a tab", "id: 7\ndata: d\u00e9j\u00e0 \u4f60\t\U0001f600\ufffd\n\n", "7", ""},
		{"characters that JSON does not escape", "id: 7\ndata: {\"t\":\"it\u0092s\u007f\u0085\u2028\"}\n\n", "7", ""},
		{"a name that is empty", "event\nid: 7\ndata: a\n\n", "7", ""},
		{"a comment in front", ": sound\nid: 7\ndata: a\n\n", "7", "id: 7\ndata: a\n\n"},
		{"comments all over", ":\nid: 7\n: a\nretry: 1\ndata: a\n: b\ndata: b\n:\n\n", "7", "id: 7\ndata: a\ndata: b\n\n"},
		{"the field retry inside", "id: 7\nretry: 100\ndata: a\n\n", "7", "id: 7\ndata: a\n\n"},
		{"blank line", "\n", "", "-"},
		{"comments", ": sound\n:\n\n", "", "-"},
		{"the field retry alone", "retry: 100\n\n", "", "-"},
	}
	for _, c := range sound {
		want := c.want
		switch want {
		case "":
			want = c.text
		case "-":
			want = ""
		}
		blocks, rest := split(c.text)
		require.Len(t, blocks, 1, c.name)
		require.Empty(t, rest.Text, c.name)
		event, err := grammar.Event(blocks[0])
		require.NoError(t, err, c.name)
		assert.Equal(t, c.id, event.ID, c.name)
		assert.Equal(t, want, string(event.Text), c.name)
	}
	faulty := map[string]string{
		"no id":                              "data: a\n\n",
		"an empty id":                        "id:\ndata: a\n\n",
		"an id that is no number":            "id: x\ndata: a\n\n",
		"a sign in the id":                   "id: +7\ndata: a\n\n",
		"a second space in front of the id":  "id:  7\ndata: a\n\n",
		"two ids":                            "id: 6\nid: 7\ndata: a\n\n",
		"no data":                            "id: 7\n\n",
		"a name alone":                       "event: token\n\n",
		"a word without a colon":             "junk\nid: 7\ndata: a\n\n",
		"an unknown field":                   "junk: x\nid: 7\ndata: a\n\n",
		"a field in capitals":                "ID: 7\ndata: a\n\n",
		"a field of the protocol, no number": "version: x\nid: 7\ndata: a\n\n",
		"a retry of junk":                    "retry: junk\n\n",
		"retry without a value":              "retry\n\n",
		"bytes that are no text in data":     "id: 7\ndata: \x8f\n\n",
		"bytes that are no text, a comment":  ": \xfe\n\n",
		"a control character":                "id: 7\ndata: a\x00\n\n",
		"an escape in a comment":             ": \x1b[2J\n\n",
		"a byte order mark":                  "\ufeffid: 7\ndata: a\n\n",
		"lines that end in different ways":   "id: 7\rdata: a\n\n",
		"a blank line of another kind":       "id: 7\r\ndata: a\r\n\n",
		"the head of an answer":              "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n",
		"the size of a chunk":                "1f\r\nid: 7\ndata: a\n\n",
	}
	for name, text := range faulty {
		blocks, _ := split(text)
		require.NotEmpty(t, blocks, name)
		_, err := grammar.Event(blocks[0])
		assert.Error(t, err, name)
	}
}

// Guards against an error about a faulty line that floods the log, or breaks out of it.
func TestErrorQuotesAFaultyLine(t *testing.T) {
	blocks, _ := split("\x1b]0;\"x\"" + strings.Repeat("\u2028", 40000) + "\n\n")
	_, err := grammar.Event(blocks[0])
	require.Error(t, err)
	assert.Less(t, len(err.Error()), 400)
	assert.Contains(t, err.Error(), `\x1b]0;\"x\"`)
	assert.NotContains(t, err.Error(), "\u2028")
}

// Guards against the rest of a stream that counts as the beginning of an event and is none, and against one that does not.
func TestBeginningOfAnEvent(t *testing.T) {
	const whole = "version: 3\nid: 7\nevent: e\ndata: d\u00e9j\u00e0\n"
	for cut := 1; cut <= len(whole); cut++ {
		_, rest := split(whole[:cut])
		event, err := grammar.Begin(rest)
		require.NoError(t, err, "%q", whole[:cut])
		assert.NotEmpty(t, event.Text, "%q", whole[:cut])
		hasID := cut >= strings.Index(whole, "7\n")+len("7\n")
		assert.Equal(t, hasID, event.ID == "7", "%q", whole[:cut])
	}
	for _, silent := range []string{"", "r", "retry", "retry: 1", ": comm", ": comment\n", ": comment\nretry: 100\n"} {
		_, rest := split(silent)
		event, err := grammar.Begin(rest)
		require.NoError(t, err, "%q", silent)
		assert.Empty(t, event.Text, "%q", silent)
	}
	for _, faulty := range []string{"junk", "x", "dat: ", "id: x", "id: 1\nid: 2", "id: 1\njunk\n", "data: \x8f\x8f", "data: a\x00", "retry: x", ": \xfe\xfe\xfe", "HTTP/1.1 2", "id: 1\r\ndata: a\n"} {
		_, rest := split(faulty)
		_, err := grammar.Begin(rest)
		assert.Error(t, err, "%q", faulty)
	}
}
