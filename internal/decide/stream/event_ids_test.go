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
