package fault_test

import (
	"io"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/core/fault"
)

// Guards against errors whose message or attributes lack the step and the peer.
func TestErrorNamesStepAndPeer(t *testing.T) {
	cases := []struct {
		name, want, step, peer string
		err                    error
	}{
		{"new", "dispatch 10.0.0.1:80: status 500", "dispatch", "10.0.0.1:80", fault.New("dispatch", "10.0.0.1:80", "status %d", 500)},
		{"peer with a percent sign", "read servers/%d: status 500", "read", "servers/%d", fault.New("read", "servers/%d", "status %d", 500)},
		{"local", "settings: no port", "settings", "", fault.New("settings", "", "no port")},
		{"wrapped", "read 10.0.0.2:80: EOF", "read", "10.0.0.2:80", fault.Wrap(io.EOF, "read", "10.0.0.2:80")},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.EqualError(t, c.err, c.want)
			assert.Equal(t, c.step, fault.Step(c.err))
			assert.Equal(t, c.peer, fault.Peer(c.err))
		})
	}
	require.NoError(t, fault.Wrap(nil, "read", ""))
	assert.ErrorIs(t, fault.Wrap(io.EOF, "read", "peer"), io.EOF)
}
