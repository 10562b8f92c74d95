package operator

import (
	"context"
	"errors"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	pipeconfig "github.com/rosemaryspar/rosemaryspar/internal/pipe/config"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/kv"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/document"
)

// commit passes a change to the committer and answers with the receipt or a refusal.
func (server *Server) commit(ctx context.Context, c *app.RequestContext, operator string) outcome {
	if server.dependencies.Committer == nil {
		return server.refuse(c, &Refusal{Status: http.StatusNotImplemented, Message: "this entry accepts no changes because it has no key-value service"})
	}
	ctx, cancel := context.WithTimeout(ctx, server.dependencies.CommitTimeout)
	defer cancel()
	body := c.Request.Body()
	receipt, err := server.dependencies.Committer.Commit(ctx, operator, body)
	var actionOutcome outcome
	switch {
	case err != nil:
		actionOutcome = server.refuse(c, refusal(err))
	case receipt.Repeat:
		c.JSON(http.StatusOK, receipt)
		actionOutcome = outcome{result: "accepted before", revision: receipt.Revision}
	default:
		c.JSON(http.StatusOK, receipt)
		actionOutcome = outcome{result: "accepted", revision: receipt.Revision}
	}
	if change, err := document.Decode(body); err == nil {
		actionOutcome.change = change.ID
	}
	return actionOutcome
}

// refusal returns the answer to a change whose commit failed with err.
func refusal(err error) *Refusal {
	refusal := &Refusal{Status: http.StatusInternalServerError, Message: err.Error()}
	var malformed *document.Error
	var rejected *pipeconfig.RejectedError
	var conflict *pipeconfig.ConflictError
	var wrongBase *config.RevisionError
	var uncertain *pipeconfig.UncertainError
	var unanswered *kv.UnansweredError
	switch {
	case errors.As(err, &malformed):
		refusal.Status = http.StatusBadRequest
	case errors.As(err, &rejected):
		refusal.Status, refusal.Findings = http.StatusUnprocessableEntity, rejected.Findings
	case errors.As(err, &conflict):
		refusal.Status, refusal.Winner = http.StatusConflict, winner(conflict)
	case errors.As(err, &wrongBase):
		refusal.Status = http.StatusConflict
	case errors.Is(err, pipeconfig.ErrTooLarge):
		refusal.Status = http.StatusRequestEntityTooLarge
	case errors.As(err, &uncertain):
		refusal.Status, refusal.Unsure = http.StatusServiceUnavailable, true
	case errors.As(err, &unanswered):
		refusal.Status, refusal.Message = http.StatusServiceUnavailable, "not committed: "+err.Error()
	}
	return refusal
}

// winner returns the JSON of the conflicting change that was committed first, nil if the log no longer holds it.
func winner(conflict *pipeconfig.ConflictError) []byte {
	if conflict.Winner == nil {
		return nil
	}
	encoded, err := document.Encode(*conflict.Winner)
	if err != nil {
		return nil
	}
	return encoded
}
