package request_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/retry"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/load"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/runner"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

const (
	plainRunners       = 3
	plainOperationTime = 30 * time.Millisecond
	// baselineDuration is the length of the runs of the baselines, and undisturbedDuration
	// that of the runs without slowed servers. Both are short to save time. This makes the
	// baselines look better than they are, because servers are slowed only after warmUp, in
	// three of their eight seconds.
	baselineDuration    = 8 * time.Second
	undisturbedDuration = 8 * time.Second
	// sharedSelection names the runs in which entries exchange slowdown reports.
	sharedSelection  = "selection, shared"
	exchangeInterval = 200 * time.Millisecond
)

// computedWork counts the tokens that engines compute and the calls that plain services
// execute.
type computedWork struct{ tokens, calls atomic.Int64 }

// countingClient is a client that counts the work that servers compute for it.
type countingClient struct {
	domainClient
	work *computedWork
}

// Complete counts the tokens after which a resumed answer continues, because the server reads
// them again, the tokens sent, and one token in progress if the attempt fails or is cancelled.
func (countingClient countingClient) Complete(ctx context.Context, server backend.Server, next call.Request, sink request.Sink) error {
	countingClient.work.tokens.Add(int64(next.Completion.Resume.Tokens))
	err := countingClient.domainClient.Complete(ctx, server, next, request.SinkFunc(func(ctx context.Context, chunk call.Chunk) error {
		countingClient.work.tokens.Add(int64(chunk.Tokens))
		return sink.Send(ctx, chunk)
	}))
	if err != nil {
		countingClient.work.tokens.Add(1)
	}
	return err
}

func (countingClient countingClient) Do(ctx context.Context, server backend.Server, next call.Request) (call.Answer, error) {
	countingClient.work.calls.Add(1)
	return countingClient.domainClient.Do(ctx, server, next)
}

// pathLoad is a load offered to the whole path: short answers, and long ones if long is set.
type pathLoad struct {
	name     string
	short    load.Work
	long     bool
	duration time.Duration
}

func shortWork(perSecond float64, tokens int) load.Work {
	return load.Work{Name: "card", KeyHash: "h", Service: "menu", PerSecond: perSecond, Tokens: tokens, Prompts: 200, PromptBytes: 400}
}

// pathResult is the result of one run of the whole path.
type pathResult struct {
	shortP99, checkP99, longP99 time.Duration
	// extraTokens and extraCalls are the work computed beyond the answers, as fractions of the answers.
	extraTokens, extraCalls float64
}

// Guards, on the path with retries, hedges and relocations, against short answers that stay
// at a server that becomes slow while it sends them, and against answers that are only fast
// because work is repeated at several servers.
func TestWholePathStaysFastWhileServersAreSlowed(t *testing.T) {
	t.Parallel()
	// "150/s of 15" means 150 requests per second with answers of 15 tokens.
	loads := []pathLoad{
		{name: "150/s of 15, 20/s of 400", short: shortWork(150, 15), long: true, duration: 40 * time.Second},
		{name: "200/s of 20", short: shortWork(200, 20), duration: loadDuration},
		{name: "200/s of 40", short: shortWork(200, 40), duration: loadDuration},
		{name: "200/s of 15", short: shortWork(200, 15), duration: loadDuration},
		{name: "20/s of 10", short: shortWork(20, 10), duration: 40 * time.Second},
	}
	choosers := namedChoosers()
	tested := len(choosers) - 1 // index of the selection under test
	// In the runs that share slowdown reports, the exchange interval of 200 ms is shorter than
	// that of real entries.
	choosers = append(choosers, namedChooser{sharedSelection, choosers[tested].newChooser})
	undisturbed, disturbed := make([]pathResult, len(loads)), make([][]pathResult, len(loads))
	t.Run("Runs", func(t *testing.T) {
		for i, offered := range loads {
			disturbed[i] = make([]pathResult, len(choosers))
			t.Run(offered.name+" undisturbed", func(t *testing.T) {
				t.Parallel()
				undisturbed[i] = simulatePath(t, offered, choosers[tested], undisturbedDuration, false)
			})
			for j, chooser := range choosers {
				t.Run(offered.name+" "+chooser.name, func(t *testing.T) {
					t.Parallel()
					duration := baselineDuration
					if j >= tested {
						duration = offered.duration
					}
					disturbed[i][j] = simulatePath(t, offered, chooser, duration, true)
				})
			}
		}
	})
	table := fmt.Sprintf("\n%-26s%-20s%-34s%-34s%-10s%-14s%s\n", "load", "chooser", "short p99 normal, slowed, ratio", "check p99 normal, slowed, ratio", "long p99", "extra tokens", "extra calls")
	for i, offered := range loads {
		for j, chooser := range choosers {
			table += formatRow(offered.name, chooser.name, undisturbed[i], disturbed[i][j])
		}
		assert.LessOrEqual(t, float64(disturbed[i][tested].shortP99), 1.5*float64(undisturbed[i].shortP99), offered.name)
		assert.LessOrEqual(t, disturbed[i][tested].extraTokens, 0.03, offered.name)
		assert.LessOrEqual(t, undisturbed[i].extraTokens, 0.03, offered.name)
		// Status checks have the same target as short answers.
		t.Run(fmt.Sprintf("status checks at load %d", i+1), func(t *testing.T) {
			assert.LessOrEqual(t, float64(disturbed[i][tested].checkP99), 1.5*float64(undisturbed[i].checkP99), offered.name)
			assert.LessOrEqual(t, disturbed[i][tested].extraCalls, 0.03, offered.name)
		})
	}
	t.Log(table)
}

func formatRow(loadName, chooserName string, undisturbed, disturbed pathResult) string {
	times := func(undisturbed, disturbed time.Duration) string {
		return fmt.Sprintf("%v, %v, %.2f", undisturbed, disturbed, float64(disturbed)/float64(undisturbed))
	}
	return fmt.Sprintf("%-26s%-20s%-34s%-34s%-10v%-14s%.1f%%\n", loadName, chooserName, times(undisturbed.shortP99, disturbed.shortP99),
		times(undisturbed.checkP99, disturbed.checkP99), disturbed.longP99, fmt.Sprintf("%.1f%%, %.1f%%", 100*undisturbed.extraTokens, 100*disturbed.extraTokens), 100*disturbed.extraCalls)
}

func simulatePath(t *testing.T, offered pathLoad, chooser namedChooser, duration time.Duration, slowServers bool) pathResult {
	var result pathResult
	synctest.Test(t, func(t *testing.T) {
		runners, set := newEngines()
		set = withPlainRunners(runners, set)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		work, counts := &computedWork{}, &slowedWork{}
		var handlers []request.Handler
		var fleets []backend.Fleet
		for i := range entryCount {
			handler, fleet := newPathEntry(t, runners, set, chooser.newChooser, domains[i%len(domains)], work, counts)
			handlers = append(handlers, handler)
			fleets = append(fleets, fleet)
			go sendLoadReports(ctx, runners, fleet)
		}
		if chooser.name == sharedSelection {
			go exchangeSlowdownReports(ctx, fleets)
		}
		if slowServers {
			go slowEngines(ctx, runners, counts)
			go slowPlainRunners(ctx, runners)
		}
		mix := []load.Work{offered.short, {Name: "check", KeyHash: "h", Service: "status", PerSecond: 50}}
		if offered.long {
			mix = append(mix, load.Work{Name: "plan", KeyHash: "h", Service: "menu", PerSecond: 20, Tokens: 400, PromptBytes: 400})
		}
		report := load.Run(ctx, load.Settings{Seed: 7, Duration: duration, Mix: mix}, handlers)
		delivered := 0
		for _, workload := range mix {
			samples := report[workload.Name]
			assert.Zero(t, samples.Refused+samples.Failed+samples.Wrong, workload.Name)
			delivered += samples.Answered * workload.Tokens
		}
		result = pathResult{
			shortP99:    load.Quantile(report["card"].Total, 0.99).Round(time.Millisecond),
			checkP99:    load.Quantile(report["check"].Total, 0.99).Round(time.Millisecond),
			extraTokens: float64(work.tokens.Load())/float64(delivered) - 1,
			extraCalls:  float64(work.calls.Load())/float64(report["check"].Answered) - 1,
		}
		if offered.long {
			result.longP99 = load.Quantile(report["plan"].Total, 0.99).Round(time.Millisecond)
		}
	})
	return result
}

// newPathEntry returns an entry with the filters that handle failed and slow attempts, and
// its fleet.
func newPathEntry(t *testing.T, runners runner.Runners, set config.Set, chooser func(domain string) request.Chooser, domain string, work *computedWork, counts *slowedWork) (request.Handler, backend.Fleet) {
	fleet, err := backend.NewFleet(set, nil, backend.Fleet{})
	require.NoError(t, err)
	snapshots, retryStates := fixedView{request.View{Config: set, Fleet: fleet}}, request.NewRetryStates()
	client := countingClient{domainClient: domainClient{Runners: runners, domain: domain, slowedWork: counts}, work: work}
	return request.Chain(request.Dispatch(client, client),
		request.Identify(snapshots), estimateLength,
		request.Retry(retryStates, snapshots, globalRand{}, retry.PolicyResume),
		request.Hedge(retryStates),
		request.ChooseWith(chooser(domain)),
		request.Relay(retryStates)), fleet
}

// withPlainRunners adds runners of a plain service to the runners, and returns the
// configuration with them.
func withPlainRunners(runners runner.Runners, set config.Set) config.Set {
	change := config.Change{Revision: 2, Services: []config.Service{
		{Name: "status", Protocol: config.ProtocolPlain, Selector: "role=status", Repeat: config.RepeatIdempotent},
	}}
	for i := range plainRunners {
		name := plainName(i)
		runners[name] = runner.New(runner.Settings{Name: name, Slots: 32, Operation: plainOperationTime})
		change.Backends = append(change.Backends, config.Backend{
			Name: name, Address: name, Domain: domains[i%len(domains)], Slots: 32, Labels: map[string]string{"role": "status"},
		})
	}
	return set.WithChange(change)
}

// exchangeSlowdownReports sends each entry the slowdown reports that all entries made one
// interval before.
func exchangeSlowdownReports(ctx context.Context, fleets []backend.Fleet) {
	previous := backend.SlowdownReports{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(exchangeInterval):
		}
		next := backend.SlowdownReports{}
		for _, fleet := range fleets {
			fleet.ApplySlowdownReports(previous.WithElapsed(exchangeInterval), time.Now())
			next = next.Merge(fleet.SlowdownReports(time.Now()))
		}
		previous = next
	}
}

func plainName(number int) string { return fmt.Sprintf("status-%d", number) }

// slowPlainRunners slows a different plain runner in each period of ten seconds, from warmUp on.
func slowPlainRunners(ctx context.Context, runners runner.Runners) {
	<-time.After(warmUp)
	for slowed := 0; ; slowed = (slowed + 1) % plainRunners {
		runners[plainName(slowed)].Slow(slowFactor)
		select {
		case <-ctx.Done():
			return
		case <-time.After(slowPeriod):
		}
		runners[plainName(slowed)].Slow(1)
	}
}
