package operator

import (
	"context"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/suspect"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/document"
)

// Quarantine holds the requests that crashed backend servers.
type Quarantine interface {
	// List returns the requests that are suspected or quarantined.
	List(now time.Time) []suspect.RequestStatus
	// Release clears a request of the crashes so far and reports whether it was known.
	Release(fingerprint suspect.Fingerprint, now time.Time) bool
}

// QuarantineList is the answer to GET /quarantine and to POST /quarantine/release.
type QuarantineList struct {
	State
	Requests []suspect.RequestStatus
}

func (server *Server) quarantined(_ context.Context, c *app.RequestContext, _ string) outcome {
	if server.parts.Quarantine == nil {
		return server.refuse(c, &Refusal{Status: http.StatusNotImplemented, Message: "this entry has no quarantine"})
	}
	return server.answerQuarantine(c)
}

func (server *Server) release(_ context.Context, c *app.RequestContext, _ string) outcome {
	if server.parts.Quarantine == nil {
		return server.refuse(c, &Refusal{Status: http.StatusNotImplemented, Message: "this entry has no quarantine"})
	}
	var order struct{ ID string }
	if err := document.DecodeStrict(c.Request.Body(), &order); err != nil {
		return server.refuse(c, &Refusal{Status: http.StatusBadRequest, Message: err.Error()})
	}
	fingerprint, ok := suspect.ParseID(order.ID)
	if !ok {
		return server.refuse(c, &Refusal{Status: http.StatusBadRequest, Message: "ID: must be CONTENT@ACCOUNT as in the list of the quarantine"})
	}
	if !server.parts.Quarantine.Release(fingerprint, time.Now()) {
		return server.refuse(c, &Refusal{Status: http.StatusNotFound, Message: "this entry suspects no request of that identifier"})
	}
	return server.answerQuarantine(c)
}

func (server *Server) answerQuarantine(c *app.RequestContext) outcome {
	state := server.state(server.parts.Views.View().Config)
	return server.answer(c, state, QuarantineList{State: state, Requests: server.parts.Quarantine.List(time.Now())})
}
