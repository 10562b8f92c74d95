package explain_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/explain"
)

// Guards against an explanation of another call than the one that was meant: a field that cannot be read is named.
func TestFieldsWithoutAnAllowedValueAreNamed(t *testing.T) {
	sound := explain.Query{Host: "a", Path: "/x?y=1", Account: "desk", Prompt: "5c:800, 91:410", Tokens: "1460,80", Hint: 60, TimeLimitMs: 1500}
	request, err := sound.Request()
	require.NoError(t, err)
	assert.Equal(t, "/x", request.Opaque.Path)
	assert.Equal(t, 1500*time.Millisecond, request.Opaque.TimeLimit)
	assert.Equal(t, call.Prompt{Input: 1460, Output: 80, LengthHint: 60, Parts: []call.Part{{ID: "5c", Tokens: 800}, {ID: "91", Tokens: 410}}}, request.Opaque.Prompt)
	for field, changes := range map[string][]func(*explain.Query){
		"Host":        {func(q *explain.Query) { q.Host = "" }},
		"Path":        {func(q *explain.Query) { q.Path = "x" }, func(q *explain.Query) { q.Path = "" }},
		"Account":     {func(q *explain.Query) { q.Key = "k" }},
		"Prompt":      {func(q *explain.Query) { q.Prompt = "5c" }, func(q *explain.Query) { q.Prompt = ":4" }, func(q *explain.Query) { q.Prompt = "5c:-1" }, func(q *explain.Query) { q.Prompt = "5c:1," }},
		"Tokens":      {func(q *explain.Query) { q.Tokens = "5" }, func(q *explain.Query) { q.Tokens = "5,many" }, func(q *explain.Query) { q.Tokens = "99999999999,1" }},
		"Hint":        {func(q *explain.Query) { q.Hint = -1 }},
		"TimeLimitMs": {func(q *explain.Query) { q.TimeLimitMs = -1 }, func(q *explain.Query) { q.TimeLimitMs = 1e12 }},
	} {
		for _, change := range changes {
			query := sound
			change(&query)
			_, err := query.Request()
			var fieldError *explain.FieldError
			require.ErrorAs(t, err, &fieldError, field)
			assert.Equal(t, field, fieldError.Field)
		}
	}
	for _, text := range []string{"", "{", `{"Hosts":"a"}`, `{"Hint":"x"}`, strings.Repeat(" ", 1<<20) + "{}"} {
		_, err := explain.Read(strings.NewReader(text))
		assert.True(t, errors.As(err, new(*explain.FieldError)), "%.20q", text)
	}
}
