package forward

import (
	"math/rand/v2"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/placement"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// NoticeKind is what a server says about itself in an answer.
type NoticeKind string

// The kinds of notices.
const (
	// NoticeLeaving means that the server is leaving.
	NoticeLeaving NoticeKind = "Leaving"
	// NoticeReplaced means that another server has the address now.
	NoticeReplaced NoticeKind = "Replaced"
	// NoticeClosed means that the server asks for no calls for a time.
	NoticeClosed NoticeKind = "Closed"
)

// Notice is what a server said about itself in the answer to a call.
type Notice struct {
	Kind   NoticeKind
	Server directory.Server
	// RequestID is the id of the call.
	RequestID string
	// Wait is the time for which the server asks for no calls, with NoticeClosed.
	Wait time.Duration
}

// NoticeRecorder records notices.
type NoticeRecorder interface {
	// RecordNotice records a notice that changed what the entry knows of a server.
	RecordNotice(notice Notice)
}

// recordLeaving records that the server of an answer accepts no more calls.
func (delivery *Delivery) recordLeaving(exchange request.Exchange, kind NoticeKind) {
	server := exchange.Target
	if delivery.dependencies.Directory.MarkLeaving(server.ID, server.StartedMs) {
		delivery.dependencies.Notices.RecordNotice(Notice{Kind: kind, Server: server, RequestID: exchange.Request.ID})
	}
}

// recordClosed records that the server of an answer asks for no calls for a time. Answers to the calls that are in progress at
// that time say so too, and only the first one is a notice.
func (delivery *Delivery) recordClosed(exchange request.Exchange, wait time.Duration) {
	server, now := exchange.Target, delivery.dependencies.Clock.Now()
	wasOpen := delivery.dependencies.Observations.observationCell(server).Load().ClosedUntil() <= now
	delivery.dependencies.Observations.Update(server, func(observation placement.Observation) placement.Observation {
		return observation.WithRetryAfter(wait, rand.Float64(), now)
	})
	if wasOpen {
		delivery.dependencies.Notices.RecordNotice(Notice{Kind: NoticeClosed, Server: server, RequestID: exchange.Request.ID, Wait: wait})
	}
}
