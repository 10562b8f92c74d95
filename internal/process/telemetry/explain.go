package telemetry

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// maxLogLineBytes bounds a line of a log that is searched; longer ones are no lines of an entry.
const maxLogLineBytes = 1 << 20

// LoggedCall is the line that a [CallLog] wrote for a call.
type LoggedCall struct {
	Time      time.Time
	Entry     string
	RequestID string
	Account   string
	Route     string
	Server    string
	Outcome   string
	Error     string
	// Step, Peer and Reason are the step that failed or refused the call, the server concerned, and the cause or reason, each empty
	// for none.
	Step            string
	Peer            string
	Reason          string
	ConfigVersion   int64
	ConfigAgeMs     int64
	ServersRevision int64
	// Decisions are the decisions of the filters, oldest first, each as "STEP REASON SERVER DETAIL".
	Decisions    []string
	FirstByteMs  float64
	LongestGapMs float64
	WholeMs      float64
}

// FindLoggedCalls returns the calls with the ID in a log, in its order. Lines that are not JSON, such as those of another
// program, are skipped.
func FindLoggedCalls(log io.Reader, id string) ([]LoggedCall, error) {
	var found []LoggedCall
	id = boundedText(id, maxNameBytes) // as the line has it
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLogLineBytes)
	for lines.Scan() {
		if !bytes.Contains(lines.Bytes(), []byte(id)) {
			continue
		}
		var line LoggedCall
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.RequestID == id && line.Outcome != "" {
			found = append(found, line)
		}
	}
	return found, lines.Err()
}

// Explain writes what happened to the call, and what an outcome other than an answer means.
func (logged LoggedCall) Explain(output io.Writer) {
	fmt.Fprintf(output, "%s entry %s: %s after %.0f ms\n", logged.Time.Format(time.RFC3339Nano), logged.Entry, logged.Outcome, logged.WholeMs)
	fmt.Fprintf(output, "  account %s, route %s, configuration %d (%d ms old), server list %d\n",
		orNone(logged.Account), orNone(logged.Route), logged.ConfigVersion, logged.ConfigAgeMs, logged.ServersRevision)
	if logged.FirstByteMs > 0 {
		fmt.Fprintf(output, "  first byte to the caller after %.0f ms, longest pause %.0f ms\n", logged.FirstByteMs, logged.LongestGapMs)
	}
	for _, decision := range logged.Decisions {
		fmt.Fprintf(output, "  %s\n", strings.Join(strings.Fields(decision), " "))
		if meaning := explainDecision(decision); meaning != "" {
			fmt.Fprintf(output, "    %s\n", meaning)
		}
	}
	if logged.Error != "" {
		fmt.Fprintf(output, "  error: %s\n", logged.Error)
	}
	if logged.Reason != "" && logged.Step != "" {
		fmt.Fprintf(output, "  step %s, server %s, reason %s\n", logged.Step, orNone(logged.Peer), logged.Reason)
	}
	if meaning, ok := outcomeMeanings[logged.Outcome]; ok {
		fmt.Fprintf(output, "  %s\n", meaning)
	}
}

func orNone(name string) string {
	if name == "" {
		return "(none)"
	}
	return name
}

// outcomeMeanings says for the outcomes of opaque calls whether the call has run, why it ended so, and where to look next.
var outcomeMeanings = map[string]string{
	string(call.ReasonStarting):         "Not run. The entry had not received a configuration yet; see its lines \"could not read a part of the store\".",
	string(call.ReasonStopping):         "Not run. The entry was stopping, and the caller's connection was still open.",
	string(call.ReasonUnknownRoute):     "Not run. The configuration has no route for the host and path; compare its version with the operators'.",
	string(call.ReasonUnauthenticated):  "Not run. No client account has the access key in this version of the configuration.",
	string(call.ReasonStoreUnavailable): "Not run. The configuration was too old to admit the call; see since when no entry has read the store.",
	string(call.ReasonOverLimit):        "Not run. The client account is beyond its limit; add up its calls of the last seconds over all entries.",
	string(call.ReasonQueueFull):        "Not run. The engines would have answered too late; see what the leader ordered (\"server order attempted\").",
	string(call.ReasonQuarantined):      "Not run. Several servers ended while this call ran; see the earlier lines of the same account with ResetUnknown.",
	string(call.ReasonNoBackend):        "Not run. No server took the call; the decisions name each one and why.",
	string(call.ReasonDeadline):         "Not run. The caller's time was over before its body had arrived, or before a server took the call.",
	string(call.CauseTimeout):           "May have run. The server did not answer within the caller's time or the route's timeout.",
	string(call.CauseReset):             "May have run. The connection to the server ended before its answer was complete; see other lines with this server.",
	string(call.ReasonTooLarge):         "Not run. The body exceeds the limit in the configuration.",
	string(call.CauseMalformed):         "Not run if no server was tried: the call was malformed. Otherwise the server's answer was, and the call may have run.",
	string(call.CauseCancelled):         "The caller left before the answer.",
}
