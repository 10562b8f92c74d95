package main_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/fake/runner"
)

// Guards against a path between separate processes that changes or loses a byte of an answer: of a streamed
// or single completion, of a lookup, or of an order and its repeat.
func TestEachEntryAnswersEachKindWhole(t *testing.T) {
	fleet := newFleet(t, layout{})
	for entry := range fleet.entries {
		prompt := fmt.Sprintf("draft %d tokens=12 ", entry)
		streamed := fleet.send(t, entry, "/v1/completions", completionBody(prompt, true), "")
		assertOK(t, streamed)
		text, ended := streamText(t, streamed.body)
		assert.True(t, ended)
		assert.Equal(t, runner.Text(prompt, 0, 12), text)

		unary := fleet.send(t, entry, "/v1/completions", completionBody(prompt, false), "")
		assertOK(t, unary)
		assert.Equal(t, runner.Text(prompt, 0, 12), answerText(t, unary.body))

		lookup := fleet.send(t, entry, "/services/stock/lace", "V-17", "")
		assertOK(t, lookup)
		assert.Equal(t, "POST /lace "+runner.Text("V-17", 0, 4), string(lookup.body))

		key := fmt.Sprintf("order-%d", entry)
		order := fleet.send(t, entry, "/services/deposit/orders", key, key)
		assertOK(t, order)
		assert.Equal(t, "POST /orders "+runner.Text(key, 0, 4), string(order.body))
		// A repeat at another entry must get the first answer and must not run again.
		repeat := fleet.send(t, (entry+1)%len(fleet.entries), "/services/deposit/orders", key, key)
		assert.Equal(t, order, repeat)
		assert.Equal(t, "1", fleet.runCount(t, key))
	}
	conflict := fleet.send(t, 0, "/services/deposit/orders", "another order", "order-0")
	assert.Equal(t, 422, conflict.status, string(conflict.body))
	assert.Equal(t, "NotRun", conflict.ran)
}
