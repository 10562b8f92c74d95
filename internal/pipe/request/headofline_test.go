package request_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/load"
)

// fewAccounts are a few large client accounts; the first is twice as large as the others.
var fewAccounts = []config.Account{
	{Name: "desk", KeyHash: "h0", Weight: 2},
	{Name: "fitters", KeyHash: "h1", Weight: 1},
	{Name: "workshop", KeyHash: "h2", Weight: 1},
}

// mixed is the work that fills a part of the assistants' slots together with the
// checklists, which are a tenth of the requests.
func mixed(utilisation float64, withLong bool) []load.Work {
	const longPart = 0.1
	perRequest := (1-longPart)*slotSeconds(shortTokens) + longPart*slotSeconds(shortTokens*longFactor)
	rate := utilisation * slots * assistants / perRequest
	var mix []load.Work
	for i, account := range fewAccounts {
		part := float64(account.Weight) / 4
		mix = append(mix, load.Work{Name: fmt.Sprintf("draft-%d", i), KeyHash: account.KeyHash, Service: "assistant", PerSecond: part * rate * (1 - longPart), Tokens: shortTokens, PromptBytes: promptBytes})
		if withLong {
			mix = append(mix, load.Work{Name: fmt.Sprintf("checklist-%d", i), KeyHash: account.KeyHash, Service: "assistant", PerSecond: part * rate * longPart, Tokens: shortTokens * longFactor, PromptBytes: promptBytes})
		}
	}
	return append(mix, load.Work{Name: "lookup", KeyHash: "h0", Service: "stock", PerSecond: 20})
}

// firsts returns the sorted times to the first token of all work whose name starts so.
func (queueResult queueResult) firsts(prefix string) []time.Duration {
	var all []time.Duration
	for name, samples := range queueResult.Report {
		if strings.HasPrefix(name, prefix) {
			all = append(all, samples.First...)
		}
	}
	slices.Sort(all)
	return all
}

// Guards against short work that waits behind long work, and against protecting it by
// giving up long work.
func TestShortWorkDoesNotWaitBehindLongWork(t *testing.T) {
	// The wait is what exceeds the time to the first token on an idle server. Where it is
	// zero without long work, a factor allows none, so the fuller fleet is held to the
	// factor on the time to the first token instead.
	const idle = promptBytes/4*promptToken + answerToken
	for _, test := range []struct {
		seed        uint64
		utilisation float64
		allowance   time.Duration
	}{
		{seed: 1, utilisation: 0.85},
		{seed: 3, utilisation: 0.85},
		{seed: 1, utilisation: 0.95, allowance: idle},
	} {
		t.Run(fmt.Sprintf("utilisation %v seed %d", test.utilisation, test.seed), func(t *testing.T) {
			best := int64(0)
			loaded, alone := map[string]queueResult{}, map[string]queueResult{}
			for _, name := range slices.Sorted(maps.Keys(policies)) {
				loaded[name] = simulateQueues(t, policies[name], test.seed, fewAccounts, mixed(test.utilisation, true))
				alone[name] = simulateQueues(t, policies[name], test.seed, fewAccounts, mixed(test.utilisation, false))
				best = max(best, loaded[name].longDone)
				t.Logf("%-22s p99 to first token of drafts %v, without checklists %v; checklists ended %d, p50 to first token %v", name,
					load.Quantile(loaded[name].firsts("draft"), 0.99), load.Quantile(alone[name].firsts("draft"), 0.99), loaded[name].longDone,
					load.Quantile(loaded[name].firsts("checklist"), 0.5))
			}
			const maxWaitFactor, minThroughput = 1.5, 0.9
			with := load.Quantile(loaded["queue"].firsts("draft"), 0.99) - idle + test.allowance
			without := load.Quantile(alone["queue"].firsts("draft"), 0.99) - idle + test.allowance
			assert.LessOrEqual(t, with.Seconds(), maxWaitFactor*without.Seconds(), "p99 wait of drafts")
			assert.GreaterOrEqual(t, float64(loaded["queue"].longDone), minThroughput*float64(best), "checklists ended")
			for name, samples := range loaded["queue"].Report {
				assert.Zero(t, samples.Refused+samples.Failed+samples.Wrong, name)
			}
		})
	}
}
