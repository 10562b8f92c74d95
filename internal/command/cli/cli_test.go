package cli_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/command/cli"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/runner"
)

// Guards against commands that fail without a message or with the wrong exit code.
func TestMainReportsFaults(t *testing.T) {
	cases := []struct {
		name      string
		arguments []string
		code      int
		want      string
	}{
		{"settings", []string{"serve", "--stop-delay", "never"}, cli.ExitUsage, `"never" is not allowed, must be 0s to 5m`},
		{"address that cannot be opened", []string{"try", "--caller-address", "192.0.2.1:0"}, cli.ExitFailed, "entry: "},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var output, errors bytes.Buffer
			assert.Equal(t, c.code, cli.Main(t.Context(), c.arguments, cli.Streams{Output: &output, Errors: &errors}))
			assert.Contains(t, errors.String(), c.want)
		})
	}
}

// Guards against an embedded set-up of "rosemaryspar try" in which a streamed completion or an order
// does not get a complete answer.
func TestTryOnceAnswersCompletionAndOrder(t *testing.T) {
	var output, errors bytes.Buffer
	code := cli.Main(t.Context(), []string{"try", "--once"}, cli.Streams{Output: &output, Errors: &errors})
	assert.Equal(t, cli.ExitOK, code, errors.String())
	assert.Contains(t, output.String(), "data: [DONE]")
	assert.Contains(t, output.String(), "POST /orders "+strings.TrimSpace(runner.Text(`{"veil":"V-17","amount":120}`, 0, 4)))
}
