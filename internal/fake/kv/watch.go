package kv

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
)

// progressInterval is the interval at which a watch sends a message without events. It also bounds how
// long a watch stays open after its client has disconnected, which only a failed write reveals.
const progressInterval = time.Second

// watch answers a watch request with a stream of messages, which it sends until [Server.stream] returns.
func (server *Server) watch(ctx context.Context, exchange *app.RequestContext) {
	server.count(KindWatch)
	if failure := server.injectBefore(ctx); failure != nil {
		writeError(exchange, failure)
		return
	}
	var request watchRequest
	if err := json.Unmarshal(exchange.Request.Body(), &request); err != nil {
		writeError(exchange, errMalformed)
		return
	}
	exchange.SetContentType("application/json")
	writer := resp.NewChunkedBodyWriter(&exchange.Response, exchange.GetWriter())
	exchange.Response.HijackWriter(writer)
	server.stream(request, writer)
}

// stream sends changes until a write to the client fails, the next revision is compacted, the service
// becomes unavailable, or the server is closed.
func (server *Server) stream(request watchRequest, writer network.ExtWriter) {
	key, end := string(request.Create.Key), string(request.Create.RangeEnd)
	nextRevision := request.Create.StartRevision
	if nextRevision == 0 {
		nextRevision = server.State().revision + 1
	}
	if send(writer, watchResponse{Header: header{Revision: server.State().revision}, Created: true}) != nil {
		return
	}
	progress := time.NewTicker(progressInterval)
	defer progress.Stop()
	for {
		current := server.data.Load()
		if nextRevision < current.state.compacted {
			_ = send(writer, watchResponse{Canceled: true, CompactRevision: current.state.compacted})
			return
		}
		if server.sendEvents(writer, current.state, current.state.events(nextRevision, key, end)) != nil {
			return
		}
		nextRevision = max(nextRevision, current.state.revision+1)
		select {
		case <-current.replaced:
		case <-server.done:
			return
		case <-progress.C:
			if send(writer, watchResponse{Header: header{Revision: current.state.revision}}) != nil {
				return
			}
		}
		if server.faults.Load().Out {
			return
		}
	}
}

// sendEvents sends events in one message, or in two equal ones while DuplicateEvents is set.
func (server *Server) sendEvents(writer network.ExtWriter, state State, events []event) error {
	if len(events) == 0 {
		return nil
	}
	response := watchResponse{Header: header{Revision: state.revision}}
	for _, change := range events {
		kind := ""
		if change.deleted {
			kind = "DELETE"
		}
		response.Events = append(response.Events, watchEvent{Type: kind, Kv: encodeItem(change.item)})
	}
	if server.faults.Load().DuplicateEvents {
		if err := send(writer, response); err != nil {
			return err
		}
	}
	return send(writer, response)
}

// send writes one message as a line of JSON, as the gateway does.
func send(writer network.ExtWriter, response watchResponse) error {
	line, err := json.Marshal(streamed[watchResponse]{Result: response})
	if err != nil {
		return err
	}
	if _, err := io.WriteString(writer, string(line)+"\n"); err != nil {
		return err
	}
	return writer.Flush()
}
