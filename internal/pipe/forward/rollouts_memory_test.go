package forward_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/route"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/forward"
)

// Guards against a copy of a service's servers for each call while no order restricts them: with 112 servers two copies took 46 KB.
func TestCallWithoutAnOrderCopiesNoServers(t *testing.T) {
	environment, source := newEnvironment(route.KindIdempotent), &orders{revision: 10}
	var idsAndVersions []string
	for i := range 112 {
		idsAndVersions = append(idsAndVersions, fmt.Sprintf("s%03d", i), "v1")
	}
	environment.withVersions(10, idsAndVersions...)
	bytes := func(rollouts *forward.Rollouts) int64 {
		environment.deliver(t, rollouts, 1)
		const calls = 50
		return testing.Benchmark(func(b *testing.B) {
			for b.Loop() {
				environment.deliver(t, rollouts, calls)
			}
		}).AllocedBytesPerOp() / calls
	}
	with := bytes(forward.NewRollouts(source, func() float64 { return 0.1 }, source))
	without := bytes(nil)
	t.Logf("%d bytes a call with roll-outs, %d without", with, without)
	assert.Less(t, with, without+4096)
}
