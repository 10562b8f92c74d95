package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/placement"
)

const now = time.Minute

// candidates returns a number of servers with 8 slots; change has functions that change the observations of
// some, by index.
func candidates(count int, change map[int]func(placement.Observation) placement.Observation) []placement.Candidate {
	all := make([]placement.Candidate, count)
	for i := range all {
		all[i] = placement.Candidate{Server: directory.Server{ID: fmt.Sprint("s", i), Slots: 8}}
		if change[i] != nil {
			all[i].Observation = change[i](placement.Observation{})
		}
	}
	return all
}

// prompt returns a prompt that shares its first part with all prompts, and its second one with those of the
// same id.
func prompt(shared string) call.Prompt {
	return call.Prompt{Input: 9000, Parts: []call.Part{{ID: "t", Tokens: 2500}, {ID: shared, Tokens: 3800}, {ID: "own", Tokens: 2700}}}
}

// Guards against entries that prefer different engines for prompts with the same shared parts, and against a few
// engines that are preferred for most prompts.
func TestPromptsWithTheSameSharedPartsGoToOneServer(t *testing.T) {
	all := candidates(12, nil)
	count := map[string]int{}
	for i := range 240 {
		query := placement.Query{Now: now, Engine: true, Prompt: prompt(fmt.Sprint("p", i))}
		first, ok := placement.Choose(all, query)
		assert.True(t, ok)
		assert.Equal(t, placement.ReasonCacheAffinity, first.Reason)
		assert.Equal(t, 2700, first.UncachedTokens)
		query.Draw = 0.7
		second, _ := placement.Choose(all, query)
		assert.Equal(t, first.Server.ID, second.Server.ID)
		count[first.Server.ID]++
	}
	for id, prompts := range count {
		assert.Less(t, prompts, 45, id)
	}
	assert.Len(t, count, 12)
}

// Guards against a call that goes to the preferred server although another server would answer sooner.
func TestLoadedOrFailingServersAreAvoided(t *testing.T) {
	query := placement.Query{Now: now, Engine: true, Prompt: prompt("p")}
	preferred, _ := placement.Choose(candidates(4, nil), query)
	index := 0
	_, _ = fmt.Sscanf(preferred.Server.ID, "s%d", &index)
	cases := map[string]func(placement.Observation) placement.Observation{
		"unread prompts": func(o placement.Observation) placement.Observation { return o.WithSent(20000) },
		"down":           func(o placement.Observation) placement.Observation { return o.WithConnectFailure(now) },
		"slow": func(o placement.Observation) placement.Observation {
			return o.WithAnswer(10, now).WithAnswer(10, now).WithAnswer(10, now)
		},
		"failing":      func(o placement.Observation) placement.Observation { return o.WithFailure(now).WithFailure(now) },
		"peers' calls": func(o placement.Observation) placement.Observation { return o.WithPeerCalls(200, 1) },
		"calls waiting": func(o placement.Observation) placement.Observation {
			return o.WithLoad(call.ServerLoad{Waiting: 3}, now)
		},
	}
	for name, change := range cases {
		choice, ok := placement.Choose(candidates(4, map[int]func(placement.Observation) placement.Observation{index: change}), query)
		assert.True(t, ok, name)
		assert.NotEqual(t, preferred.Server.ID, choice.Server.ID, name)
	}
	query.Tried = []string{preferred.Server.ID}
	choice, _ := placement.Choose(candidates(4, nil), query)
	assert.NotEqual(t, preferred.Server.ID, choice.Server.ID, "tried before")
}

// Guards against a refusal because no server is left, while one that could not be reached recently may be back.
func TestServersThatAreDownAreTheLastResort(t *testing.T) {
	down := func(o placement.Observation) placement.Observation { return o.WithConnectFailure(now) }
	choice, ok := placement.Choose(candidates(2, map[int]func(placement.Observation) placement.Observation{0: down, 1: down}), placement.Query{Now: now})
	assert.True(t, ok)
	assert.Equal(t, placement.ReasonOnlyDown, choice.Reason)
	_, ok = placement.Choose(nil, placement.Query{Now: now})
	assert.False(t, ok)
}

// Guards against failures and slowdowns that count against a server forever.
func TestObservationsFade(t *testing.T) {
	observation := placement.Observation{}.WithFailure(now).WithAnswer(8, now)
	assert.Less(t, observation.Failures(now+20*time.Second), 0.01)
	assert.InDelta(t, 1, observation.Slowdown(now+20*time.Second), 0.01)
	unreachable := placement.Observation{}.WithConnectFailure(now)
	assert.True(t, unreachable.Down(now))
	assert.False(t, unreachable.Down(now+time.Second))
	assert.False(t, unreachable.WithAnswer(1, now).Down(now), "it answered")
}
