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
	// List returns the requests that are suspected or quarantined at a time.
	List(now time.Time) []suspect.RequestStatus
	// Release discards the crashes of a request so far and reports whether it was listed.
	Release(fingerprint suspect.Fingerprint, now time.Time) bool
}

// QuarantineList is the answer to GET /quarantine and to POST /quarantine/release.
type QuarantineList struct {
	State
	Requests []suspect.RequestStatus
}

func (server *Server) quarantine(_ context.Context, c *app.RequestContext, _ string) outcome {
	if server.dependencies.Quarantine == nil {
		return server.refuse(c, &Refusal{Status: http.StatusNotImplemented, Message: "this entry has no quarantine"})
	}
	return server.answerQuarantine(c)
}

func (server *Server) release(_ context.Context, c *app.RequestContext, _ string) outcome {
	if server.dependencies.Quarantine == nil {
		return server.refuse(c, &Refusal{Status: http.StatusNotImplemented, Message: "this entry has no quarantine"})
	}
	var body struct{ ID string }
	if err := document.DecodeStrict(c.Request.Body(), &body); err != nil {
		return server.refuse(c, &Refusal{Status: http.StatusBadRequest, Message: err.Error()})
	}
	fingerprint, ok := suspect.ParseID(body.ID)
	if !ok {
		return server.refuse(c, &Refusal{Status: http.StatusBadRequest, Message: "ID: must be CONTENT@ACCOUNT, as GET /quarantine lists it"})
	}
	if !server.dependencies.Quarantine.Release(fingerprint, time.Now()) {
		return server.refuse(c, &Refusal{Status: http.StatusNotFound, Message: "this entry suspects no request of that identifier"})
	}
	return server.answerQuarantine(c)
}

func (server *Server) answerQuarantine(c *app.RequestContext) outcome {
	state := server.state(server.dependencies.Views.View().Config)
	return server.answer(c, state, QuarantineList{State: state, Requests: server.dependencies.Quarantine.List(time.Now())})
}
