package config

import (
	"fmt"
	"math"
	"regexp"

	"k8s.io/apimachinery/pkg/labels"
)

// The bounds of fields.
const (
	// MaxSlots is the largest number of slots of a backend server, above the batch size of any engine.
	MaxSlots = 4096
	// MinTimeoutMs and MaxTimeoutMs bound a service's timeout, in milliseconds.
	MinTimeoutMs = 10
	MaxTimeoutMs = 3_600_000
	// MaxWeight is the largest weight of a client account; it keeps sums of weights exact.
	MaxWeight = 1000
	// MaxLimit is the largest limit on a client account's concurrency and requests per second.
	MaxLimit = 1_000_000
	// MaxTokensPerSecond is the largest token limit, about 20 times the peak rate of the whole system.
	MaxTokensPerSecond = 10_000_000
	// MaxQueueLength is the largest queue length; it bounds the memory of the requests that wait at one entry.
	MaxQueueLength = 100_000
)

const nameAllowed = "1 to 63 letters, digits, dots, dashes and underscores, a letter or digit first"

var (
	namePattern    = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$`)
	labelPattern   = regexp.MustCompile(`^([a-zA-Z0-9]([a-zA-Z0-9._/-]{0,61}[a-zA-Z0-9])?)?$`)
	keyHashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// AddressChecker reports whether an address is an IP address and a port.
//
// It is an interface because parsing addresses belongs to the transport packages,
// which this package does not import.
type AddressChecker interface {
	Valid(address string) bool
}

// Usage is the current resource usage of client accounts, by account name.
type Usage struct {
	Accounts map[string]AccountUsage
}

// AccountUsage is the current resource usage of one client account over all entries.
type AccountUsage struct {
	Concurrency       int
	RequestsPerSecond float64
	TokensPerSecond   float64
	// QueueLength is the queue length at the entry where most of the account's requests wait.
	QueueLength int
}

// Validator checks changes before they are committed.
type Validator struct {
	addresses AddressChecker
}

// NewValidator returns a validator that checks the addresses of backend servers with addresses.
func NewValidator(addresses AddressChecker) Validator { return Validator{addresses: addresses} }

// Validate returns the errors and warnings for a change to the set.
//
// A limit below the current usage is only a warning, because lowering a limit is
// how an operator stops a client account that sends too much.
func (validator Validator) Validate(set Set, change Change, usage Usage) []Finding {
	report := &report{}
	checkReferences(report, set, change)
	for _, service := range change.Services {
		checkService(report.locate(KindService, service.Name), service)
	}
	for _, account := range change.Accounts {
		checkAccount(report.locate(KindAccount, account.Name), account, usage.Accounts[account.Name])
	}
	for _, backend := range change.Backends {
		validator.checkBackend(report.locate(KindBackend, backend.Name), backend)
	}
	next := set.WithChange(change)
	checkKeyHashes(report, next, change)
	checkSelection(report, set, next, change)
	return report.findings
}

func checkService(location location, service Service) {
	checkNameAndLabels(location, service.Name, service.Labels)
	requireKnown(location, service.Protocol, "Protocol", ProtocolEngine, ProtocolPlain)
	requireKnown(location, service.Repeat, "Repeat", RepeatNever, RepeatIdempotent, RepeatByKey)
	location.requireInRange(service.TimeoutMs, MinTimeoutMs, MaxTimeoutMs, "TimeoutMs")
	location.require(service.StatusPath == "" || service.StatusPath[0] == '/', "StatusPath",
		fmt.Sprintf("%q is not a path", service.StatusPath), "a path that starts with a slash, or empty")
	location.require(service.StatusPath == "" || service.Protocol == ProtocolPlain, "StatusPath",
		"only plain services have a status path", "empty")
	// An empty selector would match every backend server, of whatever protocol.
	location.require(service.Selector != "", "Selector", "missing", "a Kubernetes label selector")
	_, err := labels.Parse(service.Selector)
	location.require(err == nil, "Selector", fmt.Sprintf("%q cannot be parsed: %v", service.Selector, err), "a Kubernetes label selector")
}

func checkAccount(location location, account Account, usage AccountUsage) {
	checkNameAndLabels(location, account.Name, account.Labels)
	location.require(keyHashPattern.MatchString(account.KeyHash), "KeyHash", "not a hashed key", "64 lower-case hex digits, the SHA-256 of the access key")
	location.requireInRange(account.Weight, 1, MaxWeight, "Weight")
	location.requireInRange(account.Concurrency, 0, MaxLimit, "Concurrency")
	location.requireInRange(account.QueueLength, 0, MaxQueueLength, "QueueLength")
	location.requireRate(account.RequestsPerSecond, MaxLimit, "RequestsPerSecond")
	location.requireRate(account.TokensPerSecond, MaxTokensPerSecond, "TokensPerSecond")
	for _, limit := range []struct {
		field        string
		limit, usage float64
	}{
		{"Concurrency", float64(account.Concurrency), float64(usage.Concurrency)},
		{"RequestsPerSecond", account.RequestsPerSecond, usage.RequestsPerSecond},
		{"TokensPerSecond", account.TokensPerSecond, usage.TokensPerSecond},
		{"QueueLength", float64(account.QueueLength), float64(usage.QueueLength)},
	} {
		if limit.limit > 0 && limit.limit < limit.usage {
			location.add(SeverityWarning, limit.field, fmt.Sprintf("%g is below the %g in use", limit.limit, limit.usage),
				fmt.Sprintf("%g or more, or 0", math.Ceil(limit.usage)))
		}
	}
}

func (validator Validator) checkBackend(location location, backend Backend) {
	checkNameAndLabels(location, backend.Name, backend.Labels)
	location.require(validator.addresses.Valid(backend.Address), "Address", fmt.Sprintf("%q is not an address", backend.Address), "IP:port")
	location.require(namePattern.MatchString(backend.Domain), "Domain", fmt.Sprintf("malformed name %q", backend.Domain), nameAllowed)
	location.requireInRange(backend.Slots, 1, MaxSlots, "Slots")
	requireKnown(location, backend.Fencing, "Fencing", FencingRefuses, FencingIgnores, "")
}

func checkNameAndLabels(location location, name string, documentLabels map[string]string) {
	location.require(namePattern.MatchString(name), "Name", fmt.Sprintf("malformed name %q", name), nameAllowed)
	for key, value := range documentLabels {
		ok := key != "" && labelPattern.MatchString(key) && labelPattern.MatchString(value)
		location.require(ok, "Labels", fmt.Sprintf("malformed label %q=%q", key, value), "Kubernetes label keys and values")
	}
}
