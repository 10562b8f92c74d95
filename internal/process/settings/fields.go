package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// field describes one setting, which is given as a flag or an environment variable.
type field struct {
	flag         string
	defaultValue string
	// allowed describes the allowed values in the help text and in errors.
	allowed string
	help    string
	// apply stores the parsed value in settings and reports whether it is allowed.
	apply func(settings *Settings, value string) bool
}

var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$`)

const (
	nameAllowed    = "1 to 63 letters, digits, dots, dashes and underscores"
	addressAllowed = "IP:port"
)

// fields lists all settings in the order of the help text.
var fields = []field{
	{"name", "", nameAllowed, "name of this entry, unique among all entries", applyName(func(settings *Settings) *string { return &settings.Name })},
	{"domain", "", nameAllowed, "failure domain of this VM", applyName(func(settings *Settings) *string { return &settings.Domain })},
	{"region", "local", nameAllowed, "region of this VM", applyName(func(settings *Settings) *string { return &settings.Region })},
	{"caller-address", "127.0.0.1:8080", addressAllowed, "address on which the entry listens for callers", applyAddress(func(settings *Settings) *string { return &settings.CallerAddress })},
	{"operator-address", "127.0.0.1:8081", addressAllowed, "address on which the entry listens for operators, metrics and health checks", applyAddress(func(settings *Settings) *string { return &settings.OperatorAddress })},
	{"peer-address", "127.0.0.1:8082", addressAllowed, "address on which the entry listens for other entries", applyAddress(func(settings *Settings) *string { return &settings.PeerAddress })},
	{"peers", "", "NAME=IP:port, several separated by commas", "initial list of other entries, for a start without a VM list", applyPeers},
	{"kv-addresses", "127.0.0.1:2379", "IP:port, several separated by commas", "addresses of the key-value service", applyKVAddresses},
	{"kv-calls-per-second", "50", "1 to 2000", "maximum rate of calls from this entry to the key-value service, in calls per second", applyInt(1, 2000, func(settings *Settings) *int { return &settings.KVCallsPerSecond })},
	{"vm-list-url", "", "an http URL, or empty for none", "URL from which the VM list is read", applyVMListURL},
	{"operators", "", "NAME=HEX-SHA256-OF-KEY, several separated by commas", "names of the operators and the SHA-256 hashes of their access keys", applyOperators},
	{"max-body-bytes", "4194304", "1024 to 67108864", "maximum size of a request body, in bytes", applyInt(1024, 64<<20, func(settings *Settings) *int { return &settings.MaxBodyBytes })},
	{"memory-mb", "0", "0, or 64 to 1048576", "memory beyond which the process is killed, in MB; 0 for no limit", applyOptionalInt(64, 1<<20, func(settings *Settings) *int { return &settings.MemoryMb })},
	{"max-fds", "0", "0, or 256 to 1048576", "number of descriptors that the process may open; 0 for the limit of the operating system", applyOptionalInt(256, 1<<20, func(settings *Settings) *int { return &settings.MaxFds })},
	{"dial-timeout", "1s", "10ms to 1m", "maximum time for connecting to a backend server", applyDuration(10*time.Millisecond, time.Minute, func(settings *Settings) *time.Duration { return &settings.DialTimeout })},
	{"stop-delay", "3s", "0s to 5m", "time between turning unready and refusing new requests", applyDuration(0, 5*time.Minute, func(settings *Settings) *time.Duration { return &settings.StopDelay })},
	{"stop-timeout", "5m", "0s to 1h", "maximum time for finishing accepted requests once new ones are refused", applyDuration(0, time.Hour, func(settings *Settings) *time.Duration { return &settings.StopTimeout })},
	{"handover-time", "3s", "100ms to 1m", "time before the end of the stop at which unfinished completions are handed over to other entries", applyDuration(100*time.Millisecond, time.Minute, func(settings *Settings) *time.Duration { return &settings.HandoverTime })},
	{"reclaim-notice", "30s", "1s to 1h", "time between the platform's reclaim notice and the end of the VM", applyDuration(time.Second, time.Hour, func(settings *Settings) *time.Duration { return &settings.ReclaimNotice })},
	{"log-level", "info", "debug, info, warn or error", "lowest level that is logged", applyLogLevel},
}

// applyName returns an apply function that stores a name in the field to which target points.
func applyName(target func(*Settings) *string) func(*Settings, string) bool {
	return func(settings *Settings, value string) bool {
		*target(settings) = value
		return namePattern.MatchString(value)
	}
}

func applyAddress(target func(*Settings) *string) func(*Settings, string) bool {
	return func(settings *Settings, value string) bool {
		*target(settings) = value
		return isAddress(value)
	}
}

// applyOptionalInt is [applyInt] that also allows 0.
func applyOptionalInt(lowest, highest int, target func(*Settings) *int) func(*Settings, string) bool {
	return func(settings *Settings, value string) bool {
		return applyInt(lowest, highest, target)(settings, value) || value == "0"
	}
}

// applyInt returns an apply function that allows an integer from lowest to highest.
func applyInt(lowest, highest int, target func(*Settings) *int) func(*Settings, string) bool {
	return func(settings *Settings, value string) bool {
		parsed, err := strconv.Atoi(value)
		*target(settings) = parsed
		return err == nil && parsed >= lowest && parsed <= highest
	}
}

// applyDuration returns an apply function that allows a duration from lowest to highest, in the format of
// [time.ParseDuration].
func applyDuration(lowest, highest time.Duration, target func(*Settings) *time.Duration) func(*Settings, string) bool {
	return func(settings *Settings, value string) bool {
		parsed, err := time.ParseDuration(value)
		*target(settings) = parsed
		return err == nil && parsed >= lowest && parsed <= highest
	}
}

func applyKVAddresses(settings *Settings, value string) bool {
	settings.KVAddresses = strings.Split(value, ",")
	for _, address := range settings.KVAddresses {
		if !isAddress(address) {
			return false
		}
	}
	return true
}

func applyPeers(settings *Settings, value string) bool {
	settings.Peers = map[string]string{}
	if value == "" {
		return true
	}
	for pair := range strings.SplitSeq(value, ",") {
		name, address, _ := strings.Cut(pair, "=")
		if !namePattern.MatchString(name) || !isAddress(address) {
			return false
		}
		settings.Peers[name] = address
	}
	return true
}

func applyVMListURL(settings *Settings, value string) bool {
	settings.VMListURL = value
	parsed, err := url.Parse(value)
	return value == "" || err == nil && parsed.Scheme == "http" && parsed.Host != ""
}

func applyOperators(settings *Settings, value string) bool {
	settings.Operators = map[string]string{}
	if value == "" {
		return true
	}
	for pair := range strings.SplitSeq(value, ",") {
		name, hash, found := strings.Cut(pair, "=")
		decoded, err := hex.DecodeString(hash)
		if !found || !namePattern.MatchString(name) || err != nil || len(decoded) != 32 {
			return false
		}
		settings.Operators[strings.ToLower(hash)] = name
	}
	return true
}

func applyLogLevel(settings *Settings, value string) bool {
	settings.LogLevel = value
	switch value {
	case "debug", "info", "warn", "error":
		return true
	}
	return false
}

func isAddress(value string) bool {
	_, err := netip.ParseAddrPort(value)
	return err == nil
}

// environmentVariable returns the name of the environment variable that gives the setting.
func (field field) environmentVariable() string {
	return "ROSEMARYSPAR_" + strings.ToUpper(strings.ReplaceAll(field.flag, "-", "_"))
}

// invalidValue returns the error for a value that is not allowed.
func (field field) invalidValue(value string) error {
	return fmt.Errorf("--%s (%s): %q is not allowed, must be %s", field.flag, field.environmentVariable(), value, field.allowed)
}
