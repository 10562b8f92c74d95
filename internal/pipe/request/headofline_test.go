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

// fewAccounts are three large client accounts, the first with twice the weight of each of the other two.
var fewAccounts = []config.Account{
	{Name: "desk", KeyHash: "h0", Weight: 2},
	{Name: "fitters", KeyHash: "h1", Weight: 1},
	{Name: "workshop", KeyHash: "h2", Weight: 1},
}

// draftsAndChecklists returns drafts (short) and checklists (long) that together occupy the
// fraction utilisation of the assistants' slots, and lookups at the stock service. A tenth
// of the requests are checklists; without them, the rate of the drafts is the same.
func draftsAndChecklists(utilisation float64, withChecklists bool) []load.Work {
	const checklistShare = 0.1
	perRequest := (1-checklistShare)*slotSeconds(shortTokens) + checklistShare*slotSeconds(shortTokens*longFactor)
	rate := utilisation * assistantSlots * assistantCount / perRequest
	var mix []load.Work
	for i, account := range fewAccounts {
		accountShare := float64(account.Weight) / 4
		mix = append(mix, load.Work{Name: fmt.Sprintf("draft-%d", i), KeyHash: account.KeyHash, Service: "assistant", PerSecond: accountShare * rate * (1 - checklistShare), Tokens: shortTokens, PromptBytes: promptBytes})
		if withChecklists {
			mix = append(mix, load.Work{Name: fmt.Sprintf("checklist-%d", i), KeyHash: account.KeyHash, Service: "assistant", PerSecond: accountShare * rate * checklistShare, Tokens: shortTokens * longFactor, PromptBytes: promptBytes})
		}
	}
	return append(mix, load.Work{Name: "lookup", KeyHash: "h0", Service: "stock", PerSecond: 20})
}

// firstTokenTimes returns the sorted times to the first token of all work whose name has
// the prefix.
func (queueResult queueResult) firstTokenTimes(prefix string) []time.Duration {
	var times []time.Duration
	for name, samples := range queueResult.Report {
		if strings.HasPrefix(name, prefix) {
			times = append(times, samples.First...)
		}
	}
	slices.Sort(times)
	return times
}

// Guards against short work that waits behind long work (head-of-line blocking), and against
// protecting the short work by completing much less of the long work.
func TestShortWorkDoesNotWaitBehindLongWork(t *testing.T) {
	t.Parallel()
	// The wait is the time to the first token minus that on an idle server. Where the wait
	// is zero without long work, a factor would allow no wait at all. Therefore, in the case
	// with the higher utilisation, the allowance adds the time on an idle server, so that the
	// factor applies to the whole time to the first token.
	const idleFirstToken = promptBytes/4*promptToken + answerToken
	for _, test := range []struct {
		seed        uint64
		utilisation float64
		allowance   time.Duration
	}{
		{seed: 1, utilisation: 0.85},
		{seed: 3, utilisation: 0.85},
		{seed: 1, utilisation: 0.95, allowance: idleFirstToken},
	} {
		t.Run(fmt.Sprintf("utilisation %v seed %d", test.utilisation, test.seed), func(t *testing.T) {
			t.Parallel()
			mostChecklists := int64(0)
			mixedResults, draftResults := map[string]queueResult{}, map[string]queueResult{}
			for _, name := range slices.Sorted(maps.Keys(policies)) {
				mixedResults[name] = simulateQueues(t, policies[name], test.seed, fewAccounts, draftsAndChecklists(test.utilisation, true))
				draftResults[name] = simulateQueues(t, policies[name], test.seed, fewAccounts, draftsAndChecklists(test.utilisation, false))
				mostChecklists = max(mostChecklists, mixedResults[name].longCompleted)
				t.Logf("%-22s p99 time to first token of drafts %v, without checklists %v; checklists completed %d, p50 time to first token %v", name,
					load.Quantile(mixedResults[name].firstTokenTimes("draft"), 0.99), load.Quantile(draftResults[name].firstTokenTimes("draft"), 0.99), mixedResults[name].longCompleted,
					load.Quantile(mixedResults[name].firstTokenTimes("checklist"), 0.5))
			}
			const maxWaitFactor, minThroughput = 1.5, 0.9
			waitWith := load.Quantile(mixedResults["queue"].firstTokenTimes("draft"), 0.99) - idleFirstToken + test.allowance
			waitWithout := load.Quantile(draftResults["queue"].firstTokenTimes("draft"), 0.99) - idleFirstToken + test.allowance
			assert.LessOrEqual(t, waitWith.Seconds(), maxWaitFactor*waitWithout.Seconds(), "p99 wait of drafts")
			assert.GreaterOrEqual(t, float64(mixedResults["queue"].longCompleted), minThroughput*float64(mostChecklists), "checklists completed")
			for name, samples := range mixedResults["queue"].Report {
				assert.Zero(t, samples.Refused+samples.Failed+samples.Wrong, name)
			}
		})
	}
}
