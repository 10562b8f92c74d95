package settings_test

import (
	"strings"
	"testing"
	"time"

	"github.com/integrii/flaggy"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/process/settings"
)

// read reads the settings from the command-line arguments and the environment variables.
func read(t *testing.T, environment map[string]string, arguments ...string) (settings.Settings, error) {
	t.Helper()
	parser := flaggy.NewParser("test")
	reader := settings.NewReader(parser)
	require.NoError(t, parser.ParseArgs(arguments))
	return reader.Read(func(name string) (string, bool) {
		value, ok := environment[name]
		return value, ok
	})
}

// Guards against an entry that starts although some settings are invalid, and against an error that lists only
// the first invalid setting.
func TestReadReportsEveryFaultAtOnce(t *testing.T) {
	_, err := read(t, map[string]string{"ROSEMARYSPAR_DOMAIN": "a b", "ROSEMARYSPAR_STOP_DELAY": "soon"},
		"--caller-address", "localhost:80", "--operators", "desk=12")
	require.Error(t, err)
	for _, want := range []string{
		`--name (ROSEMARYSPAR_NAME): "" is not allowed`,
		`--domain (ROSEMARYSPAR_DOMAIN): "a b" is not allowed`,
		`--caller-address (ROSEMARYSPAR_CALLER_ADDRESS): "localhost:80" is not allowed, must be IP:port`,
		`--operators (ROSEMARYSPAR_OPERATORS): "desk=12" is not allowed`,
		`--stop-delay (ROSEMARYSPAR_STOP_DELAY): "soon" is not allowed, must be 0s to 5m`,
	} {
		assert.ErrorContains(t, err, want)
	}
	assert.Len(t, strings.Split(err.Error(), "\n"), 5)
}

// Guards against an environment variable that takes precedence over a flag.
func TestFlagWinsOverEnvironment(t *testing.T) {
	environment := map[string]string{"ROSEMARYSPAR_NAME": "entry-1", "ROSEMARYSPAR_DOMAIN": "quimper", "ROSEMARYSPAR_DIAL_TIMEOUT": "2s"}
	got, err := read(t, environment, "--name", "entry-2", "--kv-addresses", "10.0.0.1:2379,10.0.0.2:2379")
	require.NoError(t, err)
	assert.Equal(t, "entry-2", got.Name)
	assert.Equal(t, "quimper", got.Domain)
	assert.Equal(t, 2*time.Second, got.DialTimeout)
	assert.Equal(t, []string{"10.0.0.1:2379", "10.0.0.2:2379"}, got.KVAddresses)
	assert.Equal(t, "127.0.0.1:8080", got.CallerAddress)
}
