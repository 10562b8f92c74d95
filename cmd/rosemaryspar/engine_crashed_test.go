package main_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/fake/process"
)

// maxCrashAnswerTime bounds the time to the answer of a request that crashes engines. It is far above the time of
// two crashes and below the service's timeout of 30 s.
const maxCrashAnswerTime = 10 * time.Second

// Guards against one request that crashes all engines because its caller resends it to each entry. The
// entries must refuse it in the end, and enough engines must be left for other requests.
func TestRequestThatCrashesEnginesIsRefused(t *testing.T) {
	// Each entry may lose two engines before it refuses the request; as many engines must be left.
	fleet := newFleet(t, layout{engines: 4 * len(domains), engineFlags: []string{"--crash-mark", "poison"}})
	for range 2 {
		for entry := range fleet.entries {
			sent := time.Now()
			got := fleet.send(t, entry, "/v1/completions", completionBody("poison tokens=4 ", false), "")
			assert.Less(t, time.Since(sent), maxCrashAnswerTime, "the caller waited too long for its answer")
			t.Logf("entry %d answered %d, %d engines crashed so far: %s", entry, got.status, countEnded(fleet.engines), got.body)
			assert.NotEqual(t, http.StatusOK, got.status)
		}
	}
	for entry := range fleet.entries {
		refused := fleet.send(t, entry, "/v1/completions", completionBody("poison tokens=4 ", false), "")
		assert.Equal(t, http.StatusUnprocessableEntity, refused.status, string(refused.body))
		assert.Equal(t, "NotRun", refused.ran)
		assertOK(t, fleet.send(t, entry, "/v1/completions", completionBody("note tokens=4 ", false), ""))
	}
	assert.LessOrEqual(t, countEnded(fleet.engines), 2*len(fleet.entries))
}

// countEnded returns the number of processes that have ended.
func countEnded(processes []*process.Process) int {
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
