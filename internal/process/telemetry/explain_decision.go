package telemetry

import (
	"fmt"
	"strings"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/placement"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/forward"
)

// decisionMeanings says what the decisions of [forward.Delivery] mean, by reason. SERVER and DETAIL stand for those of the decision.
var decisionMeanings = map[string]string{
	string(placement.ReasonCacheAffinity): "sent to SERVER, the preferred server of the prompt",
	string(placement.ReasonLeastCost):     "sent to SERVER, the server with the lowest cost",
	string(placement.ReasonOnlyDown):      "sent to SERVER, although it could not be reached recently: no other server was left",
	string(placement.ReasonGarbling):      "sent to SERVER, although many of its answers are malformed: those of the others are too, or they are much busier",
	forward.ReasonResumed:                 "resumed the stream at SERVER DETAIL",
	forward.ReasonEndedWithConnection:     "complete, since SERVER ended its connection after a whole event",
	forward.ReasonBudgetSpent:             "not sent again, since the retry budget of service DETAIL is spent",
	forward.ReasonStatusPassedOn:          "passed the failure status DETAIL of an earlier attempt on to the caller",
	forward.ReasonBrokenOff:               "broke the caller's answer off DETAIL; the caller has its head and the events up to there",
	forward.ReasonCallerLeft:              "the caller left DETAIL of SERVER's answer had been passed on",
	forward.ReasonRefused:                 "refused the call, which has not run",
	forward.ReasonFailed:                  "answered the caller with an error; nothing of an answer had been sent",
}

// ranMeanings says what the end of a failed attempt's reason means.
var ranMeanings = []struct {
	ran     call.Ran
	meaning string
}{
	{call.RanNo, "the server has not run the call"},
	{call.RanUnknown, "the server may have run the call"},
	{call.RanYes, "the server has run the call"},
}

// explainDecision returns what a decision of a line, "STEP REASON SERVER DETAIL", means, empty if the decision says so itself.
func explainDecision(decision string) string {
	parts := append(strings.SplitN(decision, " ", 4), "", "", "", "")
	step, reason, server, detail := parts[0], parts[1], parts[2], parts[3]
	if server == "" {
		server = "a server"
	}
	if step == stepLog && reason == reasonLeftOut {
		return "the line leaves them out, to be no longer than the log allows"
	}
	if meaning, ok := decisionMeanings[reason]; ok && step == forward.StepDeliver {
		return strings.NewReplacer("SERVER", server, "DETAIL", detail).Replace(meaning)
	}
	for _, meaning := range ranMeanings {
		cause, ok := strings.CutSuffix(reason, string(meaning.ran))
		switch {
		case ok && cause == string(call.CauseCancelled):
			return fmt.Sprintf("cancelled at %s, since the caller left; %s", server, meaning.meaning)
		case ok:
			return fmt.Sprintf("%s failed (%s); %s", server, cause, meaning.meaning)
		}
	}
	return ""
}
