package forward

import (
	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/route"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/work"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// maxSketches bounds the number of routes and accounts on them with a sketch of their own: about 200 bytes each.
const maxSketches = 4096

// WorkRecorder records how well calls are estimated and what the estimates decide.
type WorkRecorder interface {
	// RecordEstimate records the amount of a call of a route that ended, and its estimate, 0 if there was none, without blocking.
	RecordEstimate(route string, estimated, amount float64)
	// RecordChoice records a choice of a server of a service, and whether it would have been another one by the number of calls alone.
	RecordChoice(service string, changed bool)
}

// sketchKey identifies a route with an empty account, or an account on the route.
type sketchKey struct{ route, account string }

// Estimates holds what this entry has seen of the work of calls, by route and account. It is safe for concurrent use.
type Estimates struct {
	cells    rcu.Cells[sketchKey, work.Sketch]
	recorder WorkRecorder
}

// NewEstimates returns estimates without calls. Recorder may be nil.
func NewEstimates(recorder WorkRecorder) *Estimates {
	return &Estimates{cells: rcu.NewCells[sketchKey, work.Sketch](), recorder: recorder}
}

// Sketch returns the sketch of an account on a route, together with that of the route.
func (estimates *Estimates) Sketch(route, account string) work.Sketch {
	cells := estimates.cells.All()
	var ofRoute, ofAccount work.Sketch
	if cell := cells[sketchKey{route: route}]; cell != nil {
		ofRoute = cell.Load()
	}
	if cell := cells[sketchKey{route, account}]; cell != nil && account != "" {
		ofAccount = cell.Load()
	}
	return ofAccount.WithRoute(ofRoute)
}

// Estimate returns the estimate for the call of an exchange. One that resumes an answer has an unknown part behind it and no estimate.
func (estimates *Estimates) Estimate(exchange request.Exchange) work.Estimate {
	opaque, bound := exchange.Request.Opaque, 0.0
	if opaque.ResumeAfter != "" {
		return work.Estimate{}
	}
	if exchange.Route.Kind == route.KindStream {
		bound = float64(opaque.Prompt.Output) // An event has at least one token.
	}
	return estimates.Sketch(exchange.Route.Name, exchange.ClientAccount.Name).Estimate(float64(opaque.Prompt.LengthHint), max(0, bound))
}

// record adds a call that ended.
func (estimates *Estimates) record(route, account string, call work.Call) {
	estimates.update(sketchKey{route: route}, call)
	if account != "" {
		estimates.update(sketchKey{route, account}, call)
	}
}

// recordError records the estimate of a call whose amount is known.
func (estimates *Estimates) recordError(route string, estimate work.Estimate, amount float64) {
	if estimates.recorder != nil {
		estimates.recorder.RecordEstimate(route, estimate.Median(), amount)
	}
}

// update adds a call to the sketch of a key, unless there are too many keys.
func (estimates *Estimates) update(key sketchKey, call work.Call) {
	cells := estimates.cells.All()
	cell := cells[key]
	if cell == nil {
		if len(cells) >= maxSketches {
			return
		}
		cell = estimates.cells.GetOrCreate(key, work.Sketch{})
	}
	cell.Update(func(sketch work.Sketch) work.Sketch { return sketch.WithCall(call) })
}

// recordChoice records the choice of a server.
func (estimates *Estimates) recordChoice(service string, changed bool) {
	if estimates.recorder != nil {
		estimates.recorder.RecordChoice(service, changed)
	}
}
