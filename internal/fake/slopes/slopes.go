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
	// repeats is how often each figure is measured, those of an outage aside.
	repeats = 3
	// limit ends a run that hangs; one takes about three minutes.
	limit = 5 * time.Minute
)

// bench is what the measurements share.
type bench struct {
	programs process.Programs
	servers  *servers
	report   *report
}

// Run builds the programs, measures everything and prints the figures.
func Run(ctx context.Context, output io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
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
