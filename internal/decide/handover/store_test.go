package handover_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/handover"
)

// Guards against returning an expired state that has not been removed yet, and against
// a state of one account that hides or replaces that of another.
func TestStoreKeepsStatesApart(t *testing.T) {
	now := time.Unix(1000, 0)
	store := handover.Store{}
	for _, account := range []string{"kitchen", "desk", "desk"} {
		state := handover.NewState("r1", account, "hash", 0).WithChunk(call.Chunk{Tokens: 1, Text: account})
		store, _ = store.WithState(state, now)
	}
	assert.Len(t, store.States(), 2)
	query := handover.Query{ID: "r1", Account: "desk", BodyHash: "hash"}
	cases := []struct {
		name  string
		at    time.Duration
		query handover.Query
		want  handover.Verdict
	}{
		{"in time", handover.HoldTime - 1, query, handover.VerdictTaken},
		{"expired", handover.HoldTime, query, handover.VerdictMissing},
		{"other id", 0, handover.Query{ID: "r2", Account: "desk"}, handover.VerdictMissing},
		{"other account", 0, handover.Query{ID: "r1", Account: "drivers"}, handover.VerdictOtherAccount},
	}
	for _, c := range cases {
		next, state, verdict := store.WithTaken(c.query, now.Add(c.at))
		assert.Equal(t, c.want, verdict, c.name)
		if verdict == handover.VerdictTaken {
			assert.Equal(t, call.Resume{Text: "desk", Tokens: 1}, state.Resume(call.Resume{}))
			assert.Equal(t, store.Bytes()-state.Bytes(), next.Bytes())
		}
	}
}
