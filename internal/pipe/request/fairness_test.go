package request_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/load"
)

// Guards against one client account that offers more than its share and thereby delays the
// answers to the other accounts.
func TestOneAccountsExcessDoesNotSlowTheOthers(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{2, 3} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			testExcess(t, seed)
		})
	}
}

func testExcess(t *testing.T, seed uint64) {
	const accounts, utilisation = 5, 0.8
	var accountConfigs []config.Account
	for i := range accounts {
		accountConfigs = append(accountConfigs, config.Account{Name: fmt.Sprint("account-", i), KeyHash: fmt.Sprint("h", i), Weight: 1})
	}
	accountRate := assistantSlots * assistantCount / slotSeconds(shortTokens) / accounts
	offeredLoad := func(firstUtilisation float64) []load.Work {
		mix := []load.Work{{Name: "excess", KeyHash: "h0", Service: "assistant", PerSecond: firstUtilisation * accountRate, Tokens: shortTokens, PromptBytes: promptBytes}}
		for i := 1; i < accounts; i++ {
			mix = append(mix, load.Work{Name: fmt.Sprint("steady-", i), KeyHash: fmt.Sprint("h", i), Service: "assistant", PerSecond: utilisation * accountRate, Tokens: shortTokens, PromptBytes: promptBytes})
		}
		return mix
	}
	const maxFactor = 1.1
	baseline := simulateQueues(t, queuePolicy, seed, accountConfigs, offeredLoad(1))
	withExcess := simulateQueues(t, queuePolicy, seed, accountConfigs, offeredLoad(10))
	p99, p99WithExcess := load.Quantile(baseline.firstTokenTimes("steady"), 0.99), load.Quantile(withExcess.firstTokenTimes("steady"), 0.99)
	t.Logf("p99 time to first token of the other accounts %v, with excess %v; requests of the excess account: %d answered, %d refused",
		p99, p99WithExcess, withExcess.Report["excess"].Answered, withExcess.Report["excess"].Refused)
	assert.LessOrEqual(t, p99WithExcess.Seconds(), maxFactor*p99.Seconds(), "p99 time to first token of the other accounts")
	assert.Positive(t, withExcess.Report["excess"].Refused, "requests beyond the account's share have to be refused")
}
