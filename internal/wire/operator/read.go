package operator

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

func (server *Server) explain(_ context.Context, c *app.RequestContext, _ string) {
	results := server.parts.Journal.Find(c.Param("id"))
	if len(results) == 0 {
		writeError(c, http.StatusNotFound, "this entry knows no recent request of that id; ask the others")
		return
	}
	explanations := make([]explanation, 0, len(results))
	for _, result := range results {
		explanations = append(explanations, explain(result))
	}
	c.JSON(http.StatusOK, struct {
		Entry    string
		Requests []explanation
	}{server.parts.Name, explanations})
}

// explanation is how one request was decided.
type explanation struct {
	Arrived      time.Time
	Account      string
	Service      string
	Class        string
	Error        string `json:",omitempty"`
	FirstTokenMs int64
	WholeMs      int64
	Tokens       int
	Tried        []string
	Decisions    []request.Decision
}

func explain(result request.Result) explanation {
	exchange := result.Exchange
	explained := explanation{
		Arrived:      exchange.Request.Arrived,
		Account:      exchange.Request.Account,
		Service:      exchange.Request.Service,
		Class:        string(exchange.Request.Estimate.Class),
		FirstTokenMs: result.FirstToken.Milliseconds(),
		WholeMs:      result.Whole.Milliseconds(),
		Tokens:       result.Tokens,
		Tried:        exchange.Tried,
		Decisions:    exchange.Decisions,
	}
	if result.Err != nil {
		explained.Error = result.Err.Error()
	}
	return explained
}

func (server *Server) backends(_ context.Context, c *app.RequestContext, _ string) {
	view := server.parts.Views.View()
	type row struct {
		config.Backend
		Leaving     bool
		Observation backend.Observation
	}
	var rows []row
	for _, name := range slices.Sorted(maps.Keys(view.Config.Backends())) {
		if known, ok := view.Fleet.Server(name); ok {
			rows = append(rows, row{known.Backend, known.Leaving, known.Observation.Load()})
		}
	}
	c.JSON(http.StatusOK, struct {
		Entry    string
		Revision int64
		Backends []row
	}{server.parts.Name, view.Config.Revision(), rows})
}

func (server *Server) config(_ context.Context, c *app.RequestContext, _ string) {
	set := server.parts.Views.View().Config
	accounts := slices.SortedFunc(maps.Values(set.Accounts()), func(a, b config.Account) int { return strings.Compare(a.Name, b.Name) })
	services := slices.SortedFunc(maps.Values(set.Services()), func(a, b config.Service) int { return strings.Compare(a.Name, b.Name) })
	backends := slices.SortedFunc(maps.Values(set.Backends()), func(a, b config.Backend) int { return strings.Compare(a.Name, b.Name) })
	c.JSON(http.StatusOK, config.Change{Revision: set.Revision(), Services: services, Accounts: accounts, Backends: backends})
}
