package main_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/fake/platform"
)

const (
	// callTime is the time until the deadline of a call, that of the routes.
	callTime = 3 * time.Second
	// failurePause keeps a caller whose calls are refused at once from a rate of calls that leaves the entries no processor time.
	failurePause = 20 * time.Millisecond
)

// callFailure is the outcome of a call that was not served: the entry, the path, and the status and text of its answer or
// the error.
type callFailure struct {
	entry  int
	path   string
	status int
	detail string
}

// call sends one call of a caller to an entry. The caller decides the path.
func (deployment *deployment) call(caller, entry int) {
	deployment.callPath(caller, entry, []string{"/order/", "/stock/", "/stream/"}[caller%3]+"x")
}

// callPath sends one call of a caller to an entry, and reports violations by its answer and the number of its runs. Caller 7
// uses the key that is removed later.
func (deployment *deployment) callPath(caller, entry int, path string) {
	attempt := fmt.Sprintf("%d-%d", caller, deployment.attemptsSent.Add(1))
	key := "k1"
	if caller == 7 {
		key = "k2"
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+deployment.frontAddresses[entry]+path, strings.NewReader("body"))
	require.NoError(deployment.t, err)
	platform.SetCallFields(request, "soak.example", key, attempt, callTime)
	sent := time.Now()
	status, body, err := roundTrip(request)
	revokedAt := deployment.revokedAt.Load()
	afterRevocation := key == "k2" && revokedAt > 0 && sent.Sub(time.Unix(0, revokedAt)) > revokeTime
	if key == "k1" || revokedAt == 0 {
		deployment.calls.Add(1)
	}
	ran := deployment.runs.Count(attempt)
	switch {
	case err == nil && status == http.StatusOK && body != platform.Body(path, attempt):
		deployment.violations <- fmt.Sprintf("%s %s: wrong answer %.400q, runners garbled %v", path, attempt, body, deployment.runs.Garblings(attempt))
	case err != nil && status == http.StatusOK && !strings.HasPrefix(platform.Body(path, attempt), body):
		deployment.violations <- fmt.Sprintf("%s %s: wrong beginning of an answer that was broken off: %.400q, runners garbled %v", path, attempt, body, deployment.runs.Garblings(attempt))
	case err == nil && status == http.StatusOK && (key == "k1" || revokedAt == 0):
		deployment.served.Add(1)
	case err == nil && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) && ran > 0:
		deployment.violations <- fmt.Sprintf("%s %s: refused with status %d, but ran", path, attempt, status)
	case status == http.StatusUnauthorized && key == "k1":
		deployment.violations <- fmt.Sprintf("%s %s: a valid access key was refused", path, attempt)
	}
	if status != http.StatusOK && (key == "k1" || revokedAt == 0) {
		failure := callFailure{entry: entry, path: path, status: status, detail: body}
		if err != nil {
			failure.detail = err.Error()
		}
		deployment.addFailure(failure)
	}
	if strings.HasPrefix(path, "/order/") && ran > 1 {
		deployment.violations <- fmt.Sprintf("%s %s: a non-idempotent call ran %d times", path, attempt, ran)
	}
	if afterRevocation && ran > 0 {
		deployment.violations <- fmt.Sprintf("%s %s: ran with an access key that had been removed", path, attempt)
	}
	if status != http.StatusOK {
		time.Sleep(failurePause)
	}
}

// roundTrip sends a request on a new connection and returns the status and the body of the answer. The status is
// 0 without an answer; an incomplete body is an error.
func roundTrip(request *http.Request) (int, string, error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

// addFailure records a call that was not served.
func (deployment *deployment) addFailure(failure callFailure) {
	deployment.failuresMutex.Lock()
	defer deployment.failuresMutex.Unlock()
	deployment.failures[failure]++
}

// takeFailures returns the failures since the last call of it.
func (deployment *deployment) takeFailures() map[callFailure]int {
	deployment.failuresMutex.Lock()
	defer deployment.failuresMutex.Unlock()
	failures := deployment.failures
	deployment.failures = map[callFailure]int{}
	return failures
}

// awaitServing waits until an entry has answered a call.
func (deployment *deployment) awaitServing(entry int) {
	served := deployment.served.Load()
	require.Eventually(deployment.t, func() bool {
		deployment.call(0, entry)
		return deployment.served.Load() > served
	}, 20*time.Second, 20*time.Millisecond, "entry %d does not serve", entry)
}

// awaitAllServing waits until each entry has answered a call.
func (deployment *deployment) awaitAllServing() {
	for entry := range deploymentEntries {
		deployment.awaitServing(entry)
	}
}

// reportViolations fails the test with each violation. No call may be sent after it.
func (deployment *deployment) reportViolations() {
	close(deployment.violations)
	for violation := range deployment.violations {
		deployment.t.Error(violation)
	}
}
