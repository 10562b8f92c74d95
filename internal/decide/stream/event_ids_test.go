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

// Guards against an answer that ends as complete after a server ended its part before the next event, and against one that can never end
// since its servers end all answers with their connections.
func TestEndOfAnAnswerWithoutAFurtherEvent(t *testing.T) {
	const closed, framed = false, true
	cases := []struct {
		name string
		ids  stream.EventIDs
		ends []bool
		want []bool
	}{
		{"no event yet", stream.EventIDs{}, []bool{closed, closed}, []bool{false, false}},
		{"no event yet, framed", stream.EventIDs{}, []bool{framed, framed}, []bool{false, false}},
		{"one server may have broken off, two agree", stream.ResumeAfter("3"), []bool{closed, closed}, []bool{false, true}},
		{"framed", stream.ResumeAfter("3"), []bool{framed}, []bool{true}},
		{"closed, then framed", stream.ResumeAfter("3"), []bool{closed, framed}, []bool{false, true}},
		{"the next event had begun", stream.ResumeAfter("3").WithTruncatedEvent(), []bool{closed, closed, framed}, []bool{false, false, false}},
	}
	for _, c := range cases {
		ids := c.ids
		for i, end := range c.ends {
			var complete bool
			ids, complete = ids.WithEnd(end)
			assert.Equal(t, c.want[i], complete, "%s, end %d", c.name, i)
		}
	}
	ids, _ := stream.ResumeAfter("3").WithTruncatedEvent().WithEnd(closed)
	next, ok := ids.With("4")
	assert.True(t, ok)
	next, complete := next.WithEnd(closed)
	assert.False(t, complete, "an event arrived in between")
	_, complete = next.WithEnd(closed)
	assert.True(t, complete)
}
