package forward

import (
	"math/rand/v2"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/placement"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/suspect"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/work"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// Explanation says what would become of a call now.
type Explanation struct {
	// Exchange has the route and the client account, as far as they were found.
	Exchange request.Exchange
	// Limit is what the account's limit decides on, empty if the call is refused before.
	Limit string
	// Refusal is nil for a call that is admitted.
	Refusal *call.Refusal
	Service string
	// Estimate is the expected work of the call.
	Estimate work.Estimate
	// Choice is the server of one choice; where only a sample of the servers is compared, another choice may differ.
	Choice placement.Choice
	// Sample is the number of servers at random that are compared, 0 for all.
	Sample int
	// Candidates are all servers of the service, the one with the lowest cost first.
	Candidates []placement.Ranked
}

// Explainer says where the first attempt of a call would go, by the code that decides on calls, apart from what [Sharing] rejects and from
// new servers in a trial of a roll-out.
//
// It sends nothing and counts no call. Like each use of the roll-outs, it may be the first to take over orders that were just read.
type Explainer struct {
	views    request.ViewSource
	limits   *Limits
	delivery *Delivery
}

// NewExplainer returns an explainer of the calls that a chain with these filters handles.
func NewExplainer(views request.ViewSource, limits *Limits, delivery *Delivery) *Explainer {
	return &Explainer{views: views, limits: limits, delivery: delivery}
}

// Explain returns what would become of a call that arrives now. An account, if it is not empty, stands in for an access key. It returns
// false if there is no account with that name and a key.
func (explainer *Explainer) Explain(incoming call.Request, account string) (Explanation, bool) {
	incoming.Arrived = time.Now()
	exchange := request.Exchange{Request: incoming}.WithView(explainer.views.View())
	if account != "" {
		exchange.Request.Opaque.Key = keyOf(exchange.View, account)
		if exchange.Request.Opaque.Key == "" {
			return Explanation{}, false
		}
	}
	exchange, refusal := match(exchange)
	explanation := Explanation{Exchange: exchange, Refusal: refusal}
	if refusal != nil {
		return explanation, true
	}
	explanation.Limit, explanation.Refusal = explainer.limits.check(exchange, rand.Float64())
	dependencies := explainer.delivery.dependencies
	refuse, count := dependencies.Crashes.tracker.Load().IsCrashing(suspect.FingerprintOf(exchange.Request), time.Now(), crashWindow)
	if refuse && explanation.Refusal == nil {
		explanation.Refusal = call.Refuse(call.ReasonQuarantined, "%d backend servers went away while they ran this call", count)
	}
	return explainer.withServers(explanation), true
}

// withServers returns the explanation with the service and its servers.
func (explainer *Explainer) withServers(explanation Explanation) Explanation {
	delivery, exchange := explainer.delivery, explanation.Exchange
	name, ok := exchange.Route.PickService(rand.Float64())
	if !ok {
		explanation.Refusal = refusalWithoutService(exchange.Route.Name)
		return explanation
	}
	service, _ := exchange.View.Routes.Service(name)
	explanation.Service, explanation.Estimate = name, delivery.dependencies.Estimates.Estimate(exchange)
	if service.IsEngine() && explanation.Refusal == nil {
		explanation.Refusal = delivery.dependencies.Admission.check(name, overloadCall(exchange, nil))
	}
	if refusal := delivery.dependencies.PartCrashes.Check(exchange.Request.Opaque.Prompt); refusal != nil && explanation.Refusal == nil {
		explanation.Refusal = refusal
	}
	if refusal := delivery.dependencies.Revocation.Check(exchange); refusal != nil && explanation.Refusal == nil {
		explanation.Refusal = refusal
	}
	query := delivery.query(exchange, service, explanation.Estimate)
	servers := delivery.dependencies.Rollouts.selectServers(delivery.dependencies.Directory.Servers(), name, exchange.Route.Name, false).preferred
	candidates := delivery.dependencies.Observations.View(servers)
	explanation.Sample, explanation.Candidates = query.Sample, placement.Rank(candidates, query)
	choice, found := placement.Choose(candidates, query)
	explanation.Choice = choice
	if !found && explanation.Refusal == nil {
		explanation.Refusal = refusalWithoutServer(name).WithRetryAfter(max(noServerRetryAfter, choice.Wait))
	}
	return explanation
}

// keyOf returns an access key of an account, empty if there is none.
func keyOf(view request.View, name string) string {
	for _, account := range view.Routes.Accounts() {
		if account.Name == name && len(account.Keys) > 0 {
			return account.Keys[0]
		}
	}
	return ""
}
