package config

import (
	"fmt"
	"math"
	"regexp"

	"k8s.io/apimachinery/pkg/labels"
)

// The bounds of fields.
const (
	// MaxSlots is above what any engine batches at once.
	MaxSlots = 4096
	// MinTimeoutMs and MaxTimeoutMs bound a service's timeout, in milliseconds.
	MinTimeoutMs = 10
	MaxTimeoutMs = 3_600_000
	// MaxWeight keeps sums of weights exact.
	MaxWeight = 1000
	// MaxLimit bounds the limits of a client account.
	MaxLimit = 1_000_000
	// MaxTokensPerSecond is about 20 times the peak of the whole system.
	MaxTokensPerSecond = 10_000_000
	// MaxQueueLength bounds the memory that waiting requests hold at one entry.
	MaxQueueLength = 100_000
)

const nameAllowed = "1 to 63 letters, digits, dots, dashes and underscores, a letter or digit first"

var (
	namePattern    = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$`)
	labelPattern   = regexp.MustCompile(`^([a-zA-Z0-9]([a-zA-Z0-9._/-]{0,61}[a-zA-Z0-9])?)?$`)
	keyHashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// AddressChecker tells whether an address is an IP address and a port.
//
// Parsing addresses belongs to the transports, which this package leaves out.
type AddressChecker interface {
	Valid(address string) bool
}

// Usage is what client accounts use now, by name.
type Usage struct {
	Accounts map[string]AccountUsage
}

// AccountUsage is what one client account uses now over all entries.
type AccountUsage struct {
	Concurrency       int
	RequestsPerSecond float64
	TokensPerSecond   float64
	// QueueLength is that of the entry where most of its requests wait.
	QueueLength int
}

// Validator checks changes before they are accepted.
type Validator struct {
	addresses AddressChecker
}

// NewValidator returns a validator.
func NewValidator(addresses AddressChecker) Validator { return Validator{addresses: addresses} }

// Validate returns what is wrong with a change to the set, errors and warnings in the order of documents.
//
// Limits below the use are warnings, since lowering a limit is how an operator
// stops a client account that asks for too much.
func (validator Validator) Validate(set Set, change Change, use Usage) []Finding {
	report := &report{}
	checkReferences(report, set, change)
	for _, service := range change.Services {
		checkService(report.document(KindService, service.Name), service)
	}
	for _, account := range change.Accounts {
		checkAccount(report.document(KindAccount, account.Name), account, use.Accounts[account.Name])
	}
	for _, backend := range change.Backends {
		validator.checkBackend(report.document(KindBackend, backend.Name), backend)
	}
	next := set.WithChange(change)
	checkKeyHashes(report, next, change)
	checkSelection(report, set, next, change)
	return report.findings
}

func checkService(at at, service Service) {
	checkMeta(at, service.Name, service.Labels)
	enum(at, service.Protocol, "Protocol", ProtocolEngine, ProtocolPlain)
	enum(at, service.Repeat, "Repeat", RepeatNever, RepeatIdempotent, RepeatByKey)
	at.within(service.TimeoutMs, MinTimeoutMs, MaxTimeoutMs, "TimeoutMs")
	at.require(service.StatusPath == "" || service.StatusPath[0] == '/', "StatusPath",
		fmt.Sprintf("%q is not a path", service.StatusPath), "a path that starts with a slash, or nothing")
	at.require(service.StatusPath == "" || service.Protocol == ProtocolPlain, "StatusPath",
		"only plain services have one", "nothing")
	// An empty selector would match every backend server, of whatever protocol.
	at.require(service.Selector != "", "Selector", "missing", "a Kubernetes label selector")
	_, err := labels.Parse(service.Selector)
	at.require(err == nil, "Selector", fmt.Sprintf("%q cannot be parsed: %v", service.Selector, err), "a Kubernetes label selector")
}

func checkAccount(at at, account Account, use AccountUsage) {
	checkMeta(at, account.Name, account.Labels)
	at.require(keyHashPattern.MatchString(account.KeyHash), "KeyHash", "not a hashed key", "64 lower-case hex digits, the SHA-256 of the access key")
	at.within(account.Weight, 1, MaxWeight, "Weight")
	at.within(account.Concurrency, 0, MaxLimit, "Concurrency")
	at.within(account.QueueLength, 0, MaxQueueLength, "QueueLength")
	at.rate(account.RequestsPerSecond, MaxLimit, "RequestsPerSecond")
	at.rate(account.TokensPerSecond, MaxTokensPerSecond, "TokensPerSecond")
	for _, limit := range []struct {
		field      string
		limit, use float64
	}{
		{"Concurrency", float64(account.Concurrency), float64(use.Concurrency)},
		{"RequestsPerSecond", account.RequestsPerSecond, use.RequestsPerSecond},
		{"TokensPerSecond", account.TokensPerSecond, use.TokensPerSecond},
		{"QueueLength", float64(account.QueueLength), float64(use.QueueLength)},
	} {
		if limit.limit > 0 && limit.limit < limit.use {
			at.add(SeverityWarning, limit.field, fmt.Sprintf("%g is below the %g in use", limit.limit, limit.use),
				fmt.Sprintf("%g or more, or 0", math.Ceil(limit.use)))
		}
	}
}

func (validator Validator) checkBackend(at at, backend Backend) {
	checkMeta(at, backend.Name, backend.Labels)
	at.require(validator.addresses.Valid(backend.Address), "Address", fmt.Sprintf("%q is not an address", backend.Address), "IP:port")
	at.require(namePattern.MatchString(backend.Domain), "Domain", fmt.Sprintf("malformed name %q", backend.Domain), nameAllowed)
	at.within(backend.Slots, 1, MaxSlots, "Slots")
	enum(at, backend.Fencing, "Fencing", FencingRefuses, FencingIgnores, "")
}

func checkMeta(at at, name string, set map[string]string) {
	at.require(namePattern.MatchString(name), "Name", fmt.Sprintf("malformed name %q", name), nameAllowed)
	for key, value := range set {
		ok := key != "" && labelPattern.MatchString(key) && labelPattern.MatchString(value)
		at.require(ok, "Labels", fmt.Sprintf("malformed label %q=%q", key, value), "Kubernetes label keys and values")
	}
}
