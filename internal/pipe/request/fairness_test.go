package request_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/load"
)

// Guards against one client account's excess that slows the work of the others.
func TestOneAccountsExcessDoesNotSlowTheOthers(t *testing.T) {
	for _, seed := range []uint64{2, 3} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { excess(t, seed) })
	}
}

func excess(t *testing.T, seed uint64) {
	const accounts, utilisation = 5, 0.8
	var documents []config.Account
	for i := range accounts {
		documents = append(documents, config.Account{Name: fmt.Sprint("account-", i), KeyHash: fmt.Sprint("h", i), Weight: 1})
	}
	share := slots * assistants / slotSeconds(shortTokens) / accounts
	offer := func(first float64) []load.Work {
		mix := []load.Work{{Name: "excess", KeyHash: "h0", Service: "assistant", PerSecond: first * share, Tokens: shortTokens, PromptBytes: promptBytes}}
		for i := 1; i < accounts; i++ {
			mix = append(mix, load.Work{Name: fmt.Sprint("steady-", i), KeyHash: fmt.Sprint("h", i), Service: "assistant", PerSecond: utilisation * share, Tokens: shortTokens, PromptBytes: promptBytes})
		}
		return mix
	}
	const maxFactor = 1.1
	before := simulateQueues(t, queued, seed, documents, offer(1))
	during := simulateQueues(t, queued, seed, documents, offer(10))
	p99, p99During := load.Quantile(before.firsts("steady"), 0.99), load.Quantile(during.firsts("steady"), 0.99)
	t.Logf("p99 to first token of the others %v, with excess %v; excess answered %d refused %d",
		p99, p99During, during.Report["excess"].Answered, during.Report["excess"].Refused)
	assert.LessOrEqual(t, p99During.Seconds(), maxFactor*p99.Seconds(), "p99 of the other accounts")
	assert.Positive(t, during.Report["excess"].Refused, "the excess has to be refused")
}
