package stream_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/stream"
)

// Guards against garbage and repeated events that count as the next event of an answer, and against sound events that do not.
func TestIDsOfEventsRise(t *testing.T) {
	cases := []struct {
		last, next string
		want       bool
	}{
		{"", "1", true},
		{"", "0", true},
		{"9", "10", true},
		{"10", "9", false},
		{"3", "3", false},
		{"3", "7", true},
		{"", "", false},
		{"3", "", false},
		{"", "garbage", false},
		{"3", "-4", false},
		{"3", "99999999999999999999", false},
		{"not a number", "4", true},
	}
	for _, c := range cases {
		ids, ok := stream.ResumeAfter(c.last).With(c.next)
		assert.Equal(t, c.want, ok, "%q after %q", c.next, c.last)
		want := c.last
		if c.want {
			want = c.next
		}
		assert.Equal(t, want, ids.Last(), "%q after %q", c.next, c.last)
	}
}

// Guards against an answer that ends as complete after a server closed its connection before the next event, and against one that can never end
// since its servers end all answers with their connections.
func TestEndOfAnAnswerByConnectionsAlone(t *testing.T) {
	closed := func(ids stream.EventIDs) (stream.EventIDs, bool) { return ids.WithClosed() }
	ids, complete := closed(stream.EventIDs{})
	assert.False(t, complete, "no event yet")
	_, complete = closed(ids)
	assert.False(t, complete, "no event yet, twice")

	ids, complete = closed(stream.ResumeAfter("3"))
	assert.False(t, complete, "one server may have broken off")
	_, complete = closed(ids)
	assert.True(t, complete, "two servers agree")

	_, complete = closed(ids.WithTornEvent())
	assert.False(t, complete, "the event after the last one had begun")
	next, ok := ids.WithTornEvent().With("4")
	assert.True(t, ok)
	next, complete = closed(next)
	assert.False(t, complete, "an event arrived in between")
	_, complete = closed(next)
	assert.True(t, complete)
}
