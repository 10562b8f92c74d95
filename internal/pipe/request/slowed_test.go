package request_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/load"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/runner"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

const (
	runnerCount = 18
	// slowedCount runners at a time are slowed by slowFactor for slowPeriod, from warmUp on.
	slowedCount  = 3
	entryCount   = 8
	slowFactor   = 10
	slowPeriod   = 10 * time.Second
	warmUp       = 5 * time.Second
	loadDuration = 25 * time.Second
	// Every reportInterval, entries receive a load report that is reportDelay old.
	reportInterval = 500 * time.Millisecond
	reportDelay    = 2 * time.Second
	// domainLatency is the one-way latency between failure domains.
	domainLatency = time.Millisecond
)

var domains = [3]string{"Shah Alam", "Petaling", "Cheras"}

// globalRand draws from the process-wide source of random numbers, which is safe for
// concurrent use.
type globalRand struct{}

func (globalRand) IntN(n int) int { return rand.IntN(n) }

// fixedView is a [request.ViewSource] whose view does not change.
type fixedView struct{ view request.View }

func (fixedView fixedView) View() request.View { return fixedView.view }

// roundRobin, leastInFlight and twoChoices are the baselines that the selection is compared with.
type roundRobin struct{ next *atomic.Uint64 }

func (chooser roundRobin) Choose(exchange request.Exchange, _ time.Time) (backend.Choice, bool) {
	servers := exchange.View.Fleet.Candidates(exchange.Service.Name)
	return backend.Choice{Server: servers[chooser.next.Add(1)%uint64(len(servers))]}, true
}

type leastInFlight struct{}

func (leastInFlight) Choose(exchange request.Exchange, _ time.Time) (backend.Choice, bool) {
	servers := exchange.View.Fleet.Candidates(exchange.Service.Name)
	best := servers[rand.IntN(len(servers))]
	for _, server := range servers {
		best = lessBusy(best, server)
	}
	return backend.Choice{Server: best}, true
}

type twoChoices struct{}

func (twoChoices) Choose(exchange request.Exchange, _ time.Time) (backend.Choice, bool) {
	servers := exchange.View.Fleet.Candidates(exchange.Service.Name)
	return backend.Choice{Server: lessBusy(servers[rand.IntN(len(servers))], servers[rand.IntN(len(servers))])}, true
}

func lessBusy(a, b backend.Server) backend.Server {
	if b.Observation.Load().InFlight < a.Observation.Load().InFlight {
		return b
	}
	return a
}

// namedChooser is a way to choose servers; newChooser returns the chooser of an entry in a
// failure domain.
type namedChooser struct {
	name       string
	newChooser func(domain string) request.Chooser
}

// namedChoosers returns the baselines, and as the last element the selection under test.
func namedChoosers() []namedChooser {
	return []namedChooser{
		{"round robin", func(string) request.Chooser { return roundRobin{next: &atomic.Uint64{}} }},
		{"least in flight", func(string) request.Chooser { return leastInFlight{} }},
		{"two random choices", func(string) request.Chooser { return twoChoices{} }},
		{"selection", func(domain string) request.Chooser { return request.PoolChooser{Random: globalRand{}, Domain: domain} }},
	}
}

// domainClient is a client that adds the latency to runners in other failure domains.
type domainClient struct {
	runner.Runners
	domain     string
	slowedWork *slowedWork
}

// slowedWork counts the completions that start more than a second after the last change of
// the slowed runners (counted), and those of them that slowed runners receive (slowed).
type slowedWork struct {
	current         atomic.Pointer[slowdown]
	slowed, counted atomic.Int64
}

// slowdown is a set of runners and the time at which they were slowed.
type slowdown struct {
	at          time.Time
	runnerNames map[string]bool
}

func (slowedWork *slowedWork) count(server string) {
	current := slowedWork.current.Load()
	if current == nil || time.Since(current.at) < time.Second {
		return
	}
	slowedWork.counted.Add(1)
	if current.runnerNames[server] {
		slowedWork.slowed.Add(1)
	}
}

func (domainClient domainClient) Complete(ctx context.Context, server backend.Server, next call.Request, sink request.Sink) error {
	domainClient.slowedWork.count(server.Name)
	if server.Domain != domainClient.domain {
		<-time.After(2 * domainLatency)
	}
	return domainClient.Runners.Complete(ctx, server, next, sink)
}

// estimateLength replaces [request.Estimate] and sets the true length of each answer.
func estimateLength(next request.Handler) request.Handler {
	return request.HandlerFunc(func(ctx context.Context, exchange request.Exchange) (request.Exchange, error) {
		estimate := call.Estimate{Class: call.ClassShort, Tokens: runner.Length(exchange.Request.Completion.Prompt)}
		if estimate.Tokens > 100 {
			estimate.Class = call.ClassLong
		}
		return next.Handle(ctx, exchange.WithRequest(exchange.Request.WithEstimate(estimate)))
	})
}

// choiceResult is the result of one run: the 99th percentiles of the total times of short
// and long answers, and the completions that runners started in excess of the answers, as a
// fraction of the answers.
type choiceResult struct {
	shortP99, longP99 time.Duration
	extraWork         float64
	// slowedShare is the fraction of the completions that slowed runners receive, see [slowedWork].
	slowedShare float64
}

// Guards against short answers that are delayed by slowed servers, and against answers that
// are only fast because work is repeated at several servers.
//
// The choice of the server cannot help requests that are in flight when their server
// becomes slow. Every 10 s, a different sixth of the servers is slowed. If answers take L
// and detection takes D, the requests of (L+D)/6 out of these 10 s are affected, which is
// less than 1% only if L+D is below 0.6 s. The load therefore consists of short answers (10
// tokens, 220 ms) at a rate that gives each entry enough samples of its servers. In trials
// with longer answers (15 tokens and more) or a tenth of the rate, the ratio was above 1.5;
// those loads need hedges and relocations, see TestWholePathStaysFastWhileServersAreSlowed.
func TestShortAnswersStayFastWhileServersAreSlowed(t *testing.T) {
	t.Parallel()
	choosers := namedChoosers()
	undisturbed, disturbed := make([]choiceResult, len(choosers)), make([]choiceResult, len(choosers))
	t.Run("Runs", func(t *testing.T) {
		for i, chooser := range choosers {
			t.Run(chooser.name, func(t *testing.T) {
				t.Parallel()
				undisturbed[i], disturbed[i] = simulateChoice(t, chooser.newChooser, false), simulateChoice(t, chooser.newChooser, true)
			})
		}
	})
	table := "\nchooser              short p99 undisturbed  slowed   ratio  long p99  extra work  slowed servers' share\n"
	for i, chooser := range choosers {
		table += fmt.Sprintf("%-20s %-22v %-8v %5.2f  %-8v  %.1f%%        %.1f%%\n", chooser.name, undisturbed[i].shortP99, disturbed[i].shortP99,
			float64(disturbed[i].shortP99)/float64(undisturbed[i].shortP99), disturbed[i].longP99, 100*disturbed[i].extraWork, 100*disturbed[i].slowedShare)
	}
	t.Log(table)
	tested := len(choosers) - 1 // index of the selection under test
	assert.LessOrEqual(t, float64(disturbed[tested].shortP99), 1.5*float64(undisturbed[tested].shortP99))
	assert.LessOrEqual(t, disturbed[tested].extraWork, 0.03)
	assert.Less(t, disturbed[tested].slowedShare, float64(slowedCount)/runnerCount/2, "slowed servers must get less than half of an equal share")
}

func simulateChoice(t *testing.T, chooser func(domain string) request.Chooser, slowServers bool) choiceResult {
	var result choiceResult
	synctest.Test(t, func(t *testing.T) {
		runners, set := newEngines()
		counts := &slowedWork{}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var handlers []request.Handler
		for i := range entryCount {
			fleet, err := backend.NewFleet(set, nil, backend.Fleet{})
			require.NoError(t, err)
			domain := domains[i%len(domains)]
			client := domainClient{Runners: runners, domain: domain, slowedWork: counts}
			handlers = append(handlers, request.Chain(request.Dispatch(client, client),
				request.Identify(fixedView{request.View{Config: set, Fleet: fleet}}), estimateLength, request.ChooseWith(chooser(domain))))
			go sendLoadReports(ctx, runners, fleet)
		}
		if slowServers {
			go slowEngines(ctx, runners, counts)
		}
		report := load.Run(ctx, load.Settings{Seed: 7, Duration: loadDuration, Mix: []load.Work{
			{Name: "card", KeyHash: "h", Service: "menu", PerSecond: 200, Tokens: 10, Prompts: 200, PromptBytes: 400},
			{Name: "plan", KeyHash: "h", Service: "menu", PerSecond: 15, Tokens: 400, PromptBytes: 400},
		}}, handlers)
		answered, started := 0, int64(0)
		for name, samples := range report {
			assert.Zero(t, samples.Refused+samples.Failed+samples.Wrong, name)
			answered += samples.Answered
		}
		for _, server := range runners {
			started += server.Started()
		}
		result = choiceResult{
			shortP99:    load.Quantile(report["card"].Total, 0.99).Round(time.Millisecond),
			longP99:     load.Quantile(report["plan"].Total, 0.99).Round(time.Millisecond),
			extraWork:   float64(started)/float64(answered) - 1,
			slowedShare: float64(counts.slowed.Load()) / float64(max(1, counts.counted.Load())),
		}
	})
	return result
}

func newEngines() (runner.Runners, config.Set) {
	runners := runner.Runners{}
	change := config.Change{
		Revision: 1,
		Accounts: []config.Account{{Name: "desk", KeyHash: "h", Weight: 1}},
		Services: []config.Service{{Name: "menu", Protocol: config.ProtocolEngine, Selector: "role=menu"}},
	}
	for i := range runnerCount {
		name := fmt.Sprintf("menu-%02d", i)
		runners[name] = runner.New(runner.Settings{
			Name: name, Slots: 32, ChunkTokens: 1, CachePrompts: 32,
			PromptToken: 200 * time.Microsecond, AnswerToken: 20 * time.Millisecond,
		})
		change.Backends = append(change.Backends, config.Backend{
			Name: name, Address: name, Domain: domains[i%len(domains)], Slots: 32, Labels: map[string]string{"role": "menu"},
		})
	}
	return runners, config.Set{}.WithChange(change)
}

// slowEngines slows three different runners in each period of ten seconds. It starts after
// warmUp, when the entries have measured the usual times, so that each change affects work
// in flight.
func slowEngines(ctx context.Context, runners runner.Runners, counts *slowedWork) {
	<-time.After(warmUp)
	for firstSlowed := 0; ; firstSlowed = (firstSlowed + slowedCount) % runnerCount {
		names := map[string]bool{}
		for i := range slowedCount {
			name := fmt.Sprintf("menu-%02d", firstSlowed+i)
			names[name] = true
			runners[name].Slow(slowFactor)
		}
		counts.current.Store(&slowdown{at: time.Now(), runnerNames: names})
		select {
		case <-ctx.Done():
			return
		case <-time.After(slowPeriod):
		}
		for name := range names {
			runners[name].Slow(1)
		}
	}
}

// sendLoadReports sends the load of each runner to the entry with that fleet, delayed by
// reportDelay, until ctx ends.
func sendLoadReports(ctx context.Context, runners runner.Runners, fleet backend.Fleet) {
	var reports []map[string]backend.LoadReport
	for {
		current := map[string]backend.LoadReport{}
		for name, server := range runners {
			current[name] = backend.LoadReport{Running: server.Running(), Waiting: server.Waiting(), At: time.Now()}
		}
		reports = append(reports, current)
		if len(reports) > int(reportDelay/reportInterval) {
			for name, load := range reports[0] {
				server, _ := fleet.Server(name)
				server.Observation.Update(func(observation backend.Observation) backend.Observation { return observation.WithLoadReport(load) })
			}
			reports = reports[1:]
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(reportInterval):
		}
	}
}
