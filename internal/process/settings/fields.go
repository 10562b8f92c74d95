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

// field is one setting as flags and environment variables give it.
type field struct {
	flag     string
	defaultValue string
	allowed  string
	help     string
	apply    func(settings *Settings, value string) bool
}

var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$`)

const (
	nameAllowed    = "1 to 63 letters, digits, dots, dashes and underscores"
	addressAllowed = "IP:port"
)

// fields lists all settings in the order of the help text.
var fields = []field{
	{"name", "", nameAllowed, "name of this entry, unique among entries", applyName(func(settings *Settings) *string { return &settings.Name })},
	{"domain", "", nameAllowed, "failure domain of this VM", applyName(func(settings *Settings) *string { return &settings.Domain })},
	{"region", "local", nameAllowed, "region of this VM", applyName(func(settings *Settings) *string { return &settings.Region })},
	{"caller-address", "127.0.0.1:8080", addressAllowed, "address for callers", applyAddress(func(settings *Settings) *string { return &settings.CallerAddress })},
	{"operator-address", "127.0.0.1:8081", addressAllowed, "address for operators, metrics and health checks", applyAddress(func(settings *Settings) *string { return &settings.OperatorAddress })},
	{"peer-address", "127.0.0.1:8082", addressAllowed, "address for other entries", applyAddress(func(settings *Settings) *string { return &settings.PeerAddress })},
	{"peers", "", "NAME=IP:port, several separated by commas", "other entries, for a start without a VM list", applyPeers},
	{"kv-addresses", "127.0.0.1:2379", "IP:port, several separated by commas", "addresses of the key-value service", applyKVAddresses},
	{"kv-calls-per-second", "50", "1 to 2000", "calls a second to the key-value service", applyInt(1, 2000, func(settings *Settings) *int { return &settings.KVCallsPerSecond })},
	{"vm-list-url", "", "an http URL, or empty for none", "where the VM list is read", applyVMListURL},
	{"operators", "", "NAME=HEX-SHA256-OF-KEY, several separated by commas", "operators and their hashed keys", applyOperators},
	{"max-body-bytes", "4194304", "1024 to 67108864", "largest body of a request", applyInt(1024, 64<<20, func(settings *Settings) *int { return &settings.MaxBodyBytes })},
	{"dial-timeout", "1s", "10ms to 1m", "time for connecting to a backend server", applyDuration(10*time.Millisecond, time.Minute, func(settings *Settings) *time.Duration { return &settings.DialTimeout })},
	{"stop-delay", "3s", "0s to 5m", "time between turning unready and refusing requests", applyDuration(0, 5*time.Minute, func(settings *Settings) *time.Duration { return &settings.StopDelay })},
	{"stop-timeout", "5m", "0s to 1h", "time for finishing accepted requests", applyDuration(0, time.Hour, func(settings *Settings) *time.Duration { return &settings.StopTimeout })},
	{"handover-time", "3s", "100ms to 1m", "time left before the end at which unfinished completions are handed to other entries", applyDuration(100*time.Millisecond, time.Minute, func(settings *Settings) *time.Duration { return &settings.HandoverTime })},
	{"reclaim-notice", "30s", "1s to 1h", "time between the platform's notice of a reclaim and the end of the VM", applyDuration(time.Second, time.Hour, func(settings *Settings) *time.Duration { return &settings.ReclaimNotice })},
	{"log-level", "info", "debug, info, warn or error", "least level that is logged", applyLogLevel},
}

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

func applyInt(least, most int, target func(*Settings) *int) func(*Settings, string) bool {
	return func(settings *Settings, value string) bool {
		parsed, err := strconv.Atoi(value)
		*target(settings) = parsed
		return err == nil && parsed >= least && parsed <= most
	}
}

func applyDuration(least, most time.Duration, target func(*Settings) *time.Duration) func(*Settings, string) bool {
	return func(settings *Settings, value string) bool {
		parsed, err := time.ParseDuration(value)
		*target(settings) = parsed
		return err == nil && parsed >= least && parsed <= most
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

func (field field) environmentVariable() string {
	return "ROSEMARYSPAR_" + strings.ToUpper(strings.ReplaceAll(field.flag, "-", "_"))
}

func (field field) invalidValue(value string) error {
	return fmt.Errorf("--%s (%s): %q is not allowed, must be %s", field.flag, field.environmentVariable(), value, field.allowed)
}
