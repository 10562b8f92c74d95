package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	pipeconfig "github.com/rosemaryspar/rosemaryspar/internal/pipe/config"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/document"
)

// maxPageChanges bounds the changes in one answer.
const maxPageChanges = 100

// state returns the entry's name, and the revision and age of the configuration that an answer uses.
func (server *Server) state(set config.Set) State {
	state := State{Entry: server.dependencies.Name, Revision: set.Revision()}
	if server.dependencies.ConfigAge != nil {
		age := server.dependencies.ConfigAge.Age().Milliseconds()
		state.AgeMs = &age
	}
	return state
}

func (server *Server) explain(_ context.Context, c *app.RequestContext, _ string) outcome {
	results := server.dependencies.RecentResults.Find(c.Param("id"))
	if len(results) == 0 {
		return server.refuse(c, &Refusal{
			Status:  http.StatusNotFound,
			Message: "this entry knows no recent request of that id; ask the other entries",
		})
	}
	explanations := Explanations{Entry: server.dependencies.Name}
	for _, result := range results {
		explanations.Requests = append(explanations.Requests, explain(result))
	}
	return server.answer(c, server.state(server.dependencies.Views.View().Config), explanations)
}

// explain returns the answer of GET /requests/ID about one request.
func explain(result request.Result) Explanation {
	exchange := result.Exchange
	explained := Explanation{
		Arrived:      exchange.Request.Arrived,
		Account:      exchange.Request.Account,
		Service:      exchange.Request.Service,
		Class:        string(exchange.Request.Estimate.Class),
		FirstTokenMs: result.TimeToFirstToken.Milliseconds(),
		WholeMs:      result.Duration.Milliseconds(),
		Tokens:       result.Tokens,
		Tried:        exchange.TriedServers,
		Decisions:    exchange.Decisions,
	}
	if result.Err != nil {
		explained.Error = result.Err.Error()
	}
	return explained
}

func (server *Server) backends(_ context.Context, c *app.RequestContext, _ string) outcome {
	view := server.dependencies.Views.View()
	list := BackendList{State: server.state(view.Config)}
	for name := range view.Config.EachBackend() {
		if observed, ok := view.Fleet.Server(name); ok {
			list.Backends = append(list.Backends, BackendState{observed.Backend, observed.Leaving, observed.Observation.Load()})
		}
	}
	return server.answer(c, list.State, list)
}

func (server *Server) config(_ context.Context, c *app.RequestContext, _ string) outcome {
	set := server.dependencies.Views.View().Config
	documents := set.Change()
	return server.answer(c, server.state(set), Configuration{
		State: server.state(set), Services: documents.Services, Accounts: documents.Accounts, Backends: documents.Backends,
	})
}

func (server *Server) history(_ context.Context, c *app.RequestContext, _ string) outcome {
	changes, page, refusal := server.changesPage(c)
	if refusal != nil {
		return server.refuse(c, refusal)
	}
	log := Changelog{State: server.state(server.dependencies.Views.View().Config), Page: page, Changes: []json.RawMessage{}}
	for _, applied := range changes {
		encoded, err := document.Encode(applied.Change)
		if err != nil {
			return server.refuse(c, &Refusal{Status: http.StatusInternalServerError, Message: err.Error()})
		}
		log.Changes = append(log.Changes, encoded)
	}
	return server.answer(c, log.State, log)
}

func (server *Server) effects(_ context.Context, c *app.RequestContext, _ string) outcome {
	changes, page, refusal := server.changesPage(c)
	if refusal != nil {
		return server.refuse(c, refusal)
	}
	effects := Effects{State: server.state(server.dependencies.Views.View().Config), Page: page, Changes: []Effect{}}
	for _, applied := range changes {
		effects.Changes = append(effects.Changes, Effect{
			Revision: applied.Change.Revision, ID: applied.Change.ID, Author: applied.Change.Author, Differences: applied.Differences(),
		})
	}
	return server.answer(c, effects.State, effects)
}

// changesPage returns the first page of the accepted changes after the revision in the query.
func (server *Server) changesPage(c *app.RequestContext) ([]pipeconfig.AppliedChange, Page, *Refusal) {
	after, err := strconv.ParseInt(c.DefaultQuery("after", "0"), 10, 64)
	if err != nil || after < 0 {
		return nil, Page{}, &Refusal{Status: http.StatusBadRequest, Message: "after: must be a revision"}
	}
	changes := server.dependencies.History.After(after)
	page := Page{Since: max(after, server.dependencies.Views.View().Config.Revision())}
	if len(changes) > 0 {
		page.Since = changes[0].Change.Revision - 1
	}
	if len(changes) > maxPageChanges {
		changes, page.More = changes[:maxPageChanges], true
	}
	return changes, page, nil
}

func (server *Server) entries(_ context.Context, c *app.RequestContext, _ string) outcome {
	list := EntryList{State: server.state(server.dependencies.Views.View().Config), Entries: server.dependencies.Entries.Entries()}
	return server.answer(c, list.State, list)
}

func (server *Server) selectDocuments(_ context.Context, c *app.RequestContext, _ string) outcome {
	var query struct{ Selector string }
	if err := document.DecodeStrict(c.Request.Body(), &query); err != nil {
		return server.refuse(c, &Refusal{Status: http.StatusBadRequest, Message: err.Error()})
	}
	set := server.dependencies.Views.View().Config
	references, err := set.Selected(query.Selector)
	if err != nil {
		return server.refuse(c, &Refusal{Status: http.StatusBadRequest, Message: err.Error()})
	}
	return server.answer(c, server.state(set), Selection{State: server.state(set), Selected: references})
}
