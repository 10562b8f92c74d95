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

// progressInterval is how often an idle watch sends a message without events.
// It also bounds how long a watch whose client is gone stays open.
const progressInterval = time.Second

func (service *Server) watch(ctx context.Context, exchange *app.RequestContext) {
	service.count(KindWatch)
	if refused := service.disturb(ctx); refused != nil {
		refuse(exchange, refused)
		return
	}
	var request watchRequest
	if err := json.Unmarshal(exchange.Request.Body(), &request); err != nil {
		refuse(exchange, errMalformed)
		return
	}
	exchange.SetContentType("application/json")
	writer := resp.NewChunkedBodyWriter(&exchange.Response, exchange.GetWriter())
	exchange.Response.HijackWriter(writer)
	service.stream(request, writer)
}

// stream sends changes until the client is gone, the history is compacted, or the server is out.
func (service *Server) stream(request watchRequest, writer network.ExtWriter) {
	key, end := string(request.Create.Key), string(request.Create.RangeEnd)
	next := request.Create.StartRevision
	if next == 0 {
		next = service.State().revision + 1
	}
	if send(writer, watchResponse{Header: header{Revision: service.State().revision}, Created: true}) != nil {
		return
	}
	progress := time.NewTicker(progressInterval)
	defer progress.Stop()
	for {
		current := service.data.Load()
		if next < current.state.compacted {
			_ = send(writer, watchResponse{Canceled: true, CompactRevision: current.state.compacted})
			return
		}
		if service.sendEvents(writer, current.state, current.state.events(next, key, end)) != nil {
			return
		}
		next = max(next, current.state.revision+1)
		select {
		case <-current.replaced:
		case <-service.done:
			return
		case <-progress.C:
			if send(writer, watchResponse{Header: header{Revision: current.state.revision}}) != nil {
				return
			}
		}
		if service.faults.Load().Out {
			return
		}
	}
}

func (service *Server) sendEvents(writer network.ExtWriter, state State, events []event) error {
	if len(events) == 0 {
		return nil
	}
	response := watchResponse{Header: header{Revision: state.revision}}
	for _, change := range events {
		kind := ""
		if change.deleted {
			kind = "DELETE"
		}
		response.Events = append(response.Events, watchEvent{Type: kind, Kv: message(change.item)})
	}
	if service.faults.Load().DuplicateEvents {
		if err := send(writer, response); err != nil {
			return err
		}
	}
	return send(writer, response)
}

// send writes one line of the stream, as the gateway does.
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
