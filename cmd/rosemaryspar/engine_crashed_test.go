package main_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/fake/process"
)

// maxCrashAnswer is far above the time of two crashes and below the service's timeout of 30 s.
const maxCrashAnswer = 10 * time.Second

// Guards the fleet (failure model: a request that crashes engines, sent again
// by its caller at each entry): it is refused in the end, and engines are left for others.
func TestRequestThatCrashesEnginesIsRefused(t *testing.T) {
	// An entry may lose two engines before it refuses the request; as many are to be left.
	fleet := newFleet(t, layout{engines: 4 * len(domains), engineFlags: []string{"--crash-mark", "poison"}})
	for range 2 {
		for entry := range fleet.entries {
			sent := time.Now()
			got := fleet.send(t, entry, "/v1/completions", draft("poison tokens=4 ", false), "")
			assert.Less(t, time.Since(sent), maxCrashAnswer, "the caller is not held up")
			t.Logf("entry %d answered %d, %d engines lost: %s", entry, got.status, lost(fleet.engines), got.body)
			assert.NotEqual(t, http.StatusOK, got.status)
		}
	}
	for entry := range fleet.entries {
		refused := fleet.send(t, entry, "/v1/completions", draft("poison tokens=4 ", false), "")
		assert.Equal(t, http.StatusUnprocessableEntity, refused.status, string(refused.body))
		assert.Equal(t, "NotRun", refused.ran)
		assertOK(t, fleet.send(t, entry, "/v1/completions", draft("note tokens=4 ", false), ""))
	}
	assert.LessOrEqual(t, lost(fleet.engines), 2*len(fleet.entries))
}

// lost returns how many processes have ended.
func lost(processes []*process.Process) int {
	count := 0
	for _, process := range processes {
		select {
		case <-process.Ended():
			count++
		default:
		}
	}
	return count
}
