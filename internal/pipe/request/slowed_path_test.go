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
	plainRunners = 3
	plainTime    = 30 * time.Millisecond
	// comparedFor is the length of the baselines' runs, and calmFor that of the
	// undisturbed runs. Both are short to save time, so that the baselines look better
	// than they are: servers are slowed in three of their eight seconds.
	comparedFor = 8 * time.Second
	calmFor     = 8 * time.Second
	// sharing names the run in which entries exchange what they see of the servers' speed.
	sharing       = "selection, shared"
	exchangeEvery = 200 * time.Millisecond
)

// computing counts the tokens and the calls that the servers of all entries work on.
type computing struct{ tokens, calls atomic.Int64 }

// counting is a client that counts what is computed for it.
type counting struct {
	remote
	work *computing
}

// Complete counts the tokens that a resumed answer begins with, those sent, and
// one for the token in progress when the try is cut off.
func (counting counting) Complete(ctx context.Context, server backend.Server, next call.Request, sink request.Sink) error {
	counting.work.tokens.Add(int64(next.Completion.Resume.Tokens))
	err := counting.remote.Complete(ctx, server, next, request.SinkFunc(func(ctx context.Context, chunk call.Chunk) error {
		counting.work.tokens.Add(int64(chunk.Tokens))
		return sink.Send(ctx, chunk)
	}))
	if err != nil {
		counting.work.tokens.Add(1)
	}
	return err
}

func (counting counting) Do(ctx context.Context, server backend.Server, next call.Request) (call.Answer, error) {
	counting.work.calls.Add(1)
	return counting.remote.Do(ctx, server, next)
}

// offer is one load of the whole path.
type offer struct {
	name    string
	short   load.Work
	long    bool
	lasting time.Duration
}

func cards(perSecond float64, tokens int) load.Work {
	return load.Work{Name: "card", KeyHash: "h", Service: "menu", PerSecond: perSecond, Tokens: tokens, Prompts: 200, PromptBytes: 400}
}

// pathResult is what one run of the whole path gave.
type pathResult struct {
	short, check, long time.Duration
	// tokens and calls are the work computed beyond the answers, as shares of the answers.
	tokens, calls float64
}

// Guards against short answers that stay at a server that was slowed under them,
// and against paying for speed with repeated work, on the path as it is composed.
func TestWholePathStaysFastWhileServersAreSlowed(t *testing.T) {
	offers := []offer{
		{name: "150/s of 15, 20/s of 400", short: cards(150, 15), long: true, lasting: 40 * time.Second},
		{name: "200/s of 20", short: cards(200, 20), lasting: offered},
		{name: "200/s of 40", short: cards(200, 40), lasting: offered},
		{name: "200/s of 15", short: cards(200, 15), lasting: offered},
		{name: "20/s of 10", short: cards(20, 10), lasting: 40 * time.Second},
	}
	choosers := slowedChoosers()
	last := len(choosers) - 1
	// The row that shares sightings has an exchange each 200 ms, faster than that of the entries.
	choosers = append(choosers, slowedChooser{sharing, choosers[last].at})
	calm, disturbed := make([]pathResult, len(offers)), make([][]pathResult, len(offers))
	t.Run("Runs", func(t *testing.T) {
		for i, offer := range offers {
			disturbed[i] = make([]pathResult, len(choosers))
			t.Run(offer.name+" undisturbed", func(t *testing.T) {
				t.Parallel()
				calm[i] = runPath(t, offer, choosers[last], calmFor, false)
			})
			for j, chooser := range choosers {
				t.Run(offer.name+" "+chooser.name, func(t *testing.T) {
					t.Parallel()
					lasting := comparedFor
					if j >= last {
						lasting = offer.lasting
					}
					disturbed[i][j] = runPath(t, offer, chooser, lasting, true)
				})
			}
		}
	})
	text := fmt.Sprintf("\n%-26s%-20s%-34s%-34s%-10s%-14s%s\n", "load", "chooser", "short p99 calm, slowed, ratio", "check p99 calm, slowed, ratio", "long p99", "extra tokens", "extra calls")
	for i, offer := range offers {
		for j, chooser := range choosers {
			text += pathRow(offer.name, chooser.name, calm[i], disturbed[i][j])
		}
		assert.LessOrEqual(t, float64(disturbed[i][last].short), 1.5*float64(calm[i].short), offer.name)
		assert.LessOrEqual(t, disturbed[i][last].tokens, 0.03, offer.name)
		assert.LessOrEqual(t, calm[i].tokens, 0.03, offer.name)
		// Status checks have the same target as short answers.
		t.Run(fmt.Sprintf("status checks at load %d", i+1), func(t *testing.T) {
			assert.LessOrEqual(t, float64(disturbed[i][last].check), 1.5*float64(calm[i].check), offer.name)
			assert.LessOrEqual(t, disturbed[i][last].calls, 0.03, offer.name)
		})
	}
	t.Log(text)
}

func pathRow(load, chooser string, calm, disturbed pathResult) string {
	times := func(calm, disturbed time.Duration) string {
		return fmt.Sprintf("%v, %v, %.2f", calm, disturbed, float64(disturbed)/float64(calm))
	}
	return fmt.Sprintf("%-26s%-20s%-34s%-34s%-10v%-14s%.1f%%\n", load, chooser, times(calm.short, disturbed.short),
		times(calm.check, disturbed.check), disturbed.long, fmt.Sprintf("%.1f%%, %.1f%%", 100*calm.tokens, 100*disturbed.tokens), 100*disturbed.calls)
}

func runPath(t *testing.T, offer offer, chooser slowedChooser, lasting time.Duration, disturb bool) pathResult {
	var outcome pathResult
	synctest.Test(t, func(t *testing.T) {
		group, set := engines()
		set = withPlainRunners(group, set)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		work, counts := &computing{}, &share{}
		var handlers []request.Handler
		var fleets []backend.Fleet
		for i := range entries {
			handler, fleet := pathEntry(t, group, set, chooser.at, domains[i%len(domains)], work, counts)
			handlers = append(handlers, handler)
			fleets = append(fleets, fleet)
			go report(ctx, group, fleet)
		}
		if chooser.name == sharing {
			go exchangeSightings(ctx, fleets)
		}
		if disturb {
			go slowDown(ctx, group, counts)
			go slowPlain(ctx, group)
		}
		mix := []load.Work{offer.short, {Name: "check", KeyHash: "h", Service: "status", PerSecond: 50}}
		if offer.long {
			mix = append(mix, load.Work{Name: "plan", KeyHash: "h", Service: "menu", PerSecond: 20, Tokens: 400, PromptBytes: 400})
		}
		found := load.Run(ctx, load.Settings{Seed: 7, Duration: lasting, Mix: mix}, handlers)
		delivered := 0
		for _, kind := range mix {
			samples := found[kind.Name]
			assert.Zero(t, samples.Refused+samples.Failed+samples.Wrong, kind.Name)
			delivered += samples.Answered * kind.Tokens
		}
		outcome = pathResult{
			short:  load.Quantile(found["card"].Total, 0.99).Round(time.Millisecond),
			check:  load.Quantile(found["check"].Total, 0.99).Round(time.Millisecond),
			tokens: float64(work.tokens.Load())/float64(delivered) - 1,
			calls:  float64(work.calls.Load())/float64(found["check"].Answered) - 1,
		}
		if offer.long {
			outcome.long = load.Quantile(found["plan"].Total, 0.99).Round(time.Millisecond)
		}
	})
	return outcome
}

// pathEntry returns an entry with the filters of the path that work on tries, and its fleet.
func pathEntry(t *testing.T, group runner.Runners, set config.Set, chooser func(domain string) request.Chooser, domain string, work *computing, counts *share) (request.Handler, backend.Fleet) {
	fleet, err := backend.NewFleet(set, nil, backend.Fleet{})
	require.NoError(t, err)
	snapshots, recovery := views{request.View{Config: set, Fleet: fleet}}, request.NewRetryStates()
	client := counting{remote: remote{Runners: group, domain: domain, share: counts}, work: work}
	return request.Chain(request.Dispatch(client, client),
		request.Identify(snapshots), estimate,
		request.Retry(recovery, snapshots, source{}, retry.PolicyResume),
		request.Hedge(recovery),
		request.ChooseWith(chooser(domain)),
		request.Relay(recovery)), fleet
}

func withPlainRunners(group runner.Runners, set config.Set) config.Set {
	change := config.Change{Revision: 2, Services: []config.Service{
		{Name: "status", Protocol: config.ProtocolPlain, Selector: "role=status", Repeat: config.RepeatIdempotent},
	}}
	for i := range plainRunners {
		name := plainName(i)
		group[name] = runner.New(runner.Settings{Name: name, Slots: 32, Operation: plainTime})
		change.Backends = append(change.Backends, config.Backend{
			Name: name, Address: name, Domain: domains[i%len(domains)], Slots: 32, Labels: map[string]string{"role": "status"},
		})
	}
	return set.WithChange(change)
}

// exchangeSightings tells each entry what all of them saw one interval ago.
func exchangeSightings(ctx context.Context, fleets []backend.Fleet) {
	told := backend.SlowdownReports{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(exchangeEvery):
		}
		next := backend.SlowdownReports{}
		for _, fleet := range fleets {
			fleet.ApplySlowdownReports(told.WithElapsed(exchangeEvery), time.Now())
			next = next.Merge(fleet.SlowdownReports(time.Now()))
		}
		told = next
	}
}

func plainName(number int) string { return fmt.Sprintf("status-%d", number) }

// slowPlain slows another plain runner every ten seconds.
func slowPlain(ctx context.Context, group runner.Runners) {
	<-time.After(warmUp)
	for at := 0; ; at = (at + 1) % plainRunners {
		group[plainName(at)].Slow(slowFactor)
		select {
		case <-ctx.Done():
			return
		case <-time.After(slowFor):
		}
		group[plainName(at)].Slow(1)
	}
}
