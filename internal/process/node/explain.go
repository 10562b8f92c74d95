package node

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/pipe/forward"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/explain"
)

// explainHandler answers where a call would go now. It answers one query at a time, so that queries cannot take the processor from calls.
type explainHandler struct {
	explainer *forward.Explainer
	mutex     sync.Mutex
}

// ServeHTTP answers a query with status 200, 400 for one with a field that has no allowed value, or 503 beside another query.
func (explainHandler *explainHandler) ServeHTTP(writer http.ResponseWriter, incoming *http.Request) {
	query, err := explain.Read(incoming.Body)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	request, err := query.Request()
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	// Only the explanation is made under the lock, so that a slow client does not keep others from their answers.
	if !explainHandler.mutex.TryLock() {
		http.Error(writer, "another query is being answered", http.StatusServiceUnavailable)
		return
	}
	explanation, found := explainHandler.explainer.Explain(request, query.Account)
	explainHandler.mutex.Unlock()
	if !found {
		http.Error(writer, (&explain.FieldError{Field: "Account", Detail: "no client account has the name " + query.Account}).Error(), http.StatusBadRequest)
		return
	}
	_ = http.NewResponseController(writer).SetWriteDeadline(time.Now().Add(statusTimeout))
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(replyOf(explanation)) // The caller has left.
}

// replyOf returns the explanation as a message.
func replyOf(explanation forward.Explanation) explain.Reply {
	reply := explain.Reply{
		Route: explanation.Exchange.Route.Name, Account: explanation.Exchange.ClientAccount.Name, Service: explanation.Service, Limit: explanation.Limit,
		Admitted: explanation.Refusal == nil, ExpectedAmount: explanation.Estimate.Median(), Sample: explanation.Sample,
		Chosen: explanation.Choice.Server.ID, ChosenReason: string(explanation.Choice.Reason),
	}
	if refusal := explanation.Refusal; refusal != nil {
		reply.Reason, reply.Detail, reply.RetryAfterMs = string(refusal.Reason), refusal.Detail, float64(refusal.RetryAfter)/float64(time.Millisecond)
	}
	for _, ranked := range explanation.Candidates {
		costs := ranked.Costs
		if reply.RunnerUp == "" && ranked.Server.ID != reply.Chosen {
			reply.RunnerUp = ranked.Server.ID
		}
		reply.Candidates = append(reply.Candidates, explain.Candidate{
			Server: ranked.Server.ID, Total: costs.Total(), Prompt: costs.Prompt, Load: costs.Load, Factor: costs.Factor, Beside: costs.Beside,
			Duration: costs.Duration, Late: costs.Late, Garbling: costs.Garbling, Counted: costs.Counted, Running: ranked.Observation.Running(),
			Preferred: ranked.Preferred, Down: ranked.Down, ClosedMs: max(0, float64(ranked.ClosedFor)/float64(time.Millisecond)),
		})
	}
	return reply
}
