package slopes

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/fake/process"
)

const (
	// repeats is how often each figure is measured, except those of an outage.
	repeats = 3
	// runTimeout ends a run that hangs. A run takes about three minutes.
	runTimeout = 5 * time.Minute
)

// bench holds what the measurements share: the built programs, the backend servers and the report.
type bench struct {
	programs process.Programs
	servers  *servers
	report   *report
}

// Run builds the programs, runs all measurements one after the other and prints the figures to output.
// It ends with an error at the first measurement that fails, or after 5 minutes.
func Run(ctx context.Context, output io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	folder, err := os.MkdirTemp("", "slopes")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	programs, err := process.Build(ctx, folder)
	if err != nil {
		return err
	}
	servers, err := startServers(ctx)
	if err != nil {
		return err
	}
	bench := &bench{programs: programs, servers: servers, report: newReport(output)}
	fmt.Fprintf(output, "%s, %d threads, %s; median (least to most)\n", runtime.Version(), runtime.NumCPU(), time.Now().UTC().Format(time.DateTime))
	for _, measurement := range []struct {
		name string
		run  func(context.Context) error
	}{
		{"requests", bench.requests},
		{"tokens", bench.tokens},
		{"orders", bench.orders},
		{"streams", bench.streams},
		{"connections", bench.connections},
		{"configuration", bench.documents},
		{"changes", bench.changes},
		{"starts", bench.starts},
		{"outage", bench.outages},
		{"idle", bench.idle},
	} {
		fmt.Fprintf(output, "\n%s\n", measurement.name)
		err := measurement.run(ctx)
		bench.report.flush()
		if err != nil {
			return fmt.Errorf("%s: %w", measurement.name, err)
		}
	}
	return nil
}
