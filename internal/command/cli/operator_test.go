package cli_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/rosemaryspar/rosemaryspar/internal/command/cli"
	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/suspect"
	fakekv "github.com/rosemaryspar/rosemaryspar/internal/fake/kv"
	pipeconfig "github.com/rosemaryspar/rosemaryspar/internal/pipe/config"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/kv"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/kvlog"
	"github.com/rosemaryspar/rosemaryspar/internal/process/serve"
	"github.com/rosemaryspar/rosemaryspar/internal/process/telemetry"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/document"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/operator"
)

const operatorKey = "nolwenns-key"

// site is the operator front end of one entry, with a stand-in of the key-value service. Its list of
// entries also contains a peer whose revision is peerLag behind that of the entry.
type site struct {
	*serve.Snapshots
	store    *fakekv.Server
	peerLag  *rcu.Cell[int64]
	operator *operator.Server
}

// The methods of site stand in for the parts of an entry that the operator server depends on.

func (site *site) Ready() bool { return true }

func (site *site) Set() config.Set { return site.View().Config }

func (site *site) Usage() config.Usage {
	return config.Usage{Accounts: map[string]config.AccountUsage{"desk": {Concurrency: 7}}}
}

func (site *site) Age() time.Duration { return 120 * time.Millisecond }

func (site *site) Entries() []operator.EntryRevision {
	revision := site.Set().Revision()
	return []operator.EntryRevision{{Name: "entry-1", Revision: revision}, {Name: "entry-2", Revision: revision - site.peerLag.Load(), AgeMs: 40}}
}

// startSite starts the front end, and applies the changes in the log of the key-value service to its configuration
// until ctx ends. The front end's own log lines go to log.
func startSite(ctx context.Context, group *errgroup.Group, log io.Writer) (*site, error) {
	store, err := fakekv.Start("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	settings := kv.DefaultSettings(store.Address())
	settings.Timeout, settings.CallsPerSecond, settings.Backoff, settings.ReadAttempts = 200*time.Millisecond, 1000, time.Millisecond, 1
	client := kv.New(settings)
	site := &site{Snapshots: serve.NewSnapshots(), store: store, peerLag: rcu.New(int64(0))}
	history, changeLog := pipeconfig.NewHistory(), kvlog.New(client, pipeconfig.Layout("config").LogPrefix())
	results := request.NewRecentResults(4)
	results.Record(request.Result{Exchange: request.Exchange{Request: call.Request{ID: "r-1", Service: "drafts"}}.
		WithDecision(request.Decision{Step: "choose", Reason: "LeastLoaded", Peer: "runner-1"})})
	suspects, now := request.NewSuspects(), time.Now()
	suspects.Tracker.Update(func(tracker suspect.Tracker) suspect.Tracker {
		fingerprint := suspect.Fingerprint{Account: "desk", Content: 7}
		return tracker.WithCrash(fingerprint, "runner-1", now).WithCrash(fingerprint, "runner-2", now)
	})
	site.operator, err = operator.Listen("127.0.0.1:0", operator.Dependencies{
		Name: "entry-1", Operators: map[string]string{hash(operatorKey): "nolwenn"}, Readiness: site, Views: site,
		RecentResults: results, Metrics: telemetry.NewMetrics(), Logger: zerolog.New(log),
		Committer: pipeconfig.NewCommitter(changeLog, site, site, history), History: history,
		Quarantine: suspects, Entries: site, ConfigAge: site, CommitTimeout: 300 * time.Millisecond,
	})
	if err != nil {
		return nil, err
	}
	group.Go(func() error { return site.operator.Serve(ctx) })
	group.Go(func() error {
		err := changeLog.Follow(ctx, kvlog.Tail{}, func(entry kvlog.Entry) error {
			change, err := document.Decode(entry.Payload)
			if err != nil {
				return err
			}
			return site.PublishConfig(site.Set().WithChange(change))
		})
		client.Close()
		return errors.Join(ignoreCanceled(err), store.Close())
	})
	return site, nil
}

func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Guards against operator commands that fail, do not print the outcome of a change, or exit with the wrong code.
func TestOperatorCommands(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			ctx, stop := context.WithCancel(context.Background())
			group := &errgroup.Group{}
			log, err := os.Create(filepath.Join(env.WorkDir, "log"))
			if err != nil {
				stop()
				return err
			}
			site, err := startSite(ctx, group, log)
			if err != nil {
				stop()
				return err
			}
			env.Defer(func() {
				stop()
				if err := errors.Join(group.Wait(), log.Close()); err != nil {
					env.T().Fatal(err)
				}
			})
			env.Setenv("ADDRESS", site.operator.Address())
			env.Setenv("ROSEMARYSPAR_OPERATOR_KEY", operatorKey)
			env.Values["site"] = site
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			// exits CODE ARGUMENTS runs a command of rosemaryspar and checks its exit code.
			"exits": func(ts *testscript.TestScript, _ bool, args []string) {
				got := cli.Main(context.Background(), args[1:], cli.Streams{Output: ts.Stdout(), Errors: ts.Stderr(), Lookup: func(name string) (string, bool) {
					value := ts.Getenv(name)
					return value, value != ""
				}})
				if strconv.Itoa(got) != args[0] {
					ts.Fatalf("exit code %d", got)
				}
			},
			// outage on|off makes the key-value service unavailable, or available again.
			"outage": func(ts *testscript.TestScript, _ bool, args []string) {
				ts.Value("site").(*site).store.Inject(func(faults fakekv.Faults) fakekv.Faults { return faults.WithOut(args[0] == "on") })
			},
			// lag N sets the number of revisions by which the peer is behind.
			"lag": func(ts *testscript.TestScript, _ bool, args []string) {
				lag, err := strconv.ParseInt(args[0], 10, 64)
				ts.Check(err)
				ts.Value("site").(*site).peerLag.Store(lag)
			},
		},
	})
}
