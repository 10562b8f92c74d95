package config_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
)

// addressChecker is a fake that accepts the addresses of one network.
type addressChecker struct{}

func (addressChecker) Valid(address string) bool { return strings.HasPrefix(address, "10.") }

// hash returns a well-formed key hash that consists of one digit.
func hash(digit string) string { return strings.Repeat(digit, 64) }

func backend(name string) config.Backend {
	return config.Backend{Name: name, Address: "10.0.0.1:80", Domain: "vannes", Slots: 8, Labels: map[string]string{"role": "draft"}}
}

// base returns a set at revision 1 with one document of each kind.
func base() config.Set {
	return config.Set{}.WithChange(config.Change{
		Revision: 1,
		Services: []config.Service{{Name: "drafts", Protocol: config.ProtocolEngine, Repeat: config.RepeatIdempotent, Selector: "role=draft", TimeoutMs: 1000}},
		Accounts: []config.Account{{Name: "desk", KeyHash: hash("a"), Weight: 1}},
		Backends: []config.Backend{backend("one")},
	})
}

// Guards against invalid changes that are accepted and then take effect at every entry.
func TestValidate(t *testing.T) {
	edit := func(change func(*config.Backend)) config.Change {
		document := backend("two")
		change(&document)
		return config.Change{Backends: []config.Backend{document}}
	}
	service := func(change func(*config.Service)) config.Change {
		document, _ := base().Service("drafts")
		change(&document)
		return config.Change{Services: []config.Service{document}}
	}
	account := func(document config.Account) config.Change {
		return config.Change{Accounts: []config.Account{document}}
	}
	deletes := func(kind config.Kind, name string) config.Change {
		return config.Change{Deletes: []config.Reference{{Kind: kind, Name: name}}}
	}
	cases := []struct {
		name   string
		change config.Change
		want   []string
	}{
		{"valid", edit(func(*config.Backend) {}), nil},
		{"empty change", config.Change{}, []string{"Error change: contains no document and no delete"}},
		{"malformed name", edit(func(backend *config.Backend) { backend.Name = "a b" }), []string{`Error Backend "a b" Name: malformed name "a b"`}},
		{"malformed label", edit(func(backend *config.Backend) { backend.Labels["x y"] = "z" }), []string{`Error Backend "two" Labels: malformed label "x y"="z"`}},
		{"malformed domain", edit(func(backend *config.Backend) { backend.Domain = "" }), []string{`Error Backend "two" Domain: malformed name ""`}},
		{"address", edit(func(backend *config.Backend) { backend.Address = "host:80" }), []string{`Error Backend "two" Address: "host:80" is not an address`}},
		{"slots", edit(func(backend *config.Backend) { backend.Slots = 0 }), []string{`Error Backend "two" Slots: 0 is out of range`}},
		{"fencing", edit(func(backend *config.Backend) { backend.Fencing = "Maybe" }), []string{`Error Backend "two" Fencing: unknown value "Maybe"`}},
		{"unselected", edit(func(backend *config.Backend) { backend.Labels = nil }), []string{`Warning Backend "two" Labels: no service selects this backend server`}},
		{"selector", service(func(service *config.Service) { service.Selector = "a in (" }), []string{`Error Service "drafts" Selector: "a in (" cannot be parsed`}},
		{"no selector", service(func(service *config.Service) { service.Selector = "" }), []string{`Error Service "drafts" Selector: missing`}},
		{"selector without matches", service(func(service *config.Service) { service.Selector = "role=none" }), []string{`Warning Service "drafts" Selector: "role=none" matches no backend server`}},
		{"last backend deleted", deletes(config.KindBackend, "one"), []string{`Warning Service "drafts" Selector: "role=draft" matches no backend server`}},
		{"timeout", service(func(service *config.Service) { service.TimeoutMs = 0 }), []string{`Error Service "drafts" TimeoutMs: 0 is out of range`}},
		{"enums", service(func(service *config.Service) { service.Protocol, service.Repeat = "X", "" }), []string{
			`Error Service "drafts" Protocol: unknown value "X"`, `Error Service "drafts" Repeat: unknown value ""`,
		}},
		{"status path", service(func(service *config.Service) { service.StatusPath = "status" }), []string{
			`Error Service "drafts" StatusPath: "status" is not a path`, `Error Service "drafts" StatusPath: only plain services have a status path`,
		}},
		{"key hash taken", account(config.Account{Name: "fitters", KeyHash: hash("a"), Weight: 1}), []string{`Error Account "fitters" KeyHash: client account "desk" has the same key`}},
		{"key hash kept", account(config.Account{Name: "desk", KeyHash: hash("a"), Weight: 2}), nil},
		{"key hash malformed", account(config.Account{Name: "x", KeyHash: "secret", Weight: 1}), []string{`Error Account "x" KeyHash: not a hashed key`}},
		{"limit below use", account(config.Account{Name: "desk", KeyHash: hash("a"), Weight: 1, Concurrency: 4}), []string{`Warning Account "desk" Concurrency: 4 is below the 7 in use`}},
		{"limits", account(config.Account{Name: "x", KeyHash: hash("b"), RequestsPerSecond: -1}), []string{
			`Error Account "x" Weight: 0 is out of range`, `Error Account "x" RequestsPerSecond: -1 is out of range`,
		}},
		{"delete of a missing document", deletes(config.KindAccount, "gone"), []string{`Error Account "gone" Name: a delete of a document that does not exist`}},
		{"delete of an unknown kind", deletes("Shop", "gone"), []string{`Error Shop "gone" Kind: unknown value "Shop"`, `Error Shop "gone" Name: a delete of`}},
		{"listed twice", config.Change{Backends: []config.Backend{backend("two"), backend("two")}}, []string{`Error Backend "two" Name: listed twice in the change`}},
	}
	usage := config.Usage{Accounts: map[string]config.AccountUsage{"desk": {Concurrency: 7}}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			findings := config.NewValidator(addressChecker{}).Validate(base(), c.change.WithBase(1), usage)
			require.Len(t, findings, len(c.want), "%v", findings)
			for i, want := range c.want {
				severity, text, _ := strings.Cut(want, " ")
				assert.True(t, strings.HasPrefix(findings[i].String(), severity+": "+text), findings[i].String())
				assert.NotEmpty(t, findings[i].Allowed)
			}
		})
	}
}

// Guards against a set that differs from a plain map after the same changes, and
// against a change that modifies the set it was applied to.
func TestWithNextAgreesWithPlainMaps(t *testing.T) {
	set, model := config.Set{}, map[string]config.Backend{}
	for step := range int64(3000) {
		previous, previousLen := set, set.Len()
		name := fmt.Sprint("b", step*7919%211)
		change := config.Change{Deletes: []config.Reference{{Kind: config.KindBackend, Name: name}}}
		if step%3 > 0 {
			document := backend(name)
			document.Slots = int(step)
			change, model[name] = config.Change{Backends: []config.Backend{document}}, document
		} else {
			delete(model, name)
		}
		var revisionError *config.RevisionError
		_, err := set.WithNext(change.WithBase(step + 1))
		require.ErrorAs(t, err, &revisionError)
		set, err = set.WithNext(change.WithBase(step))
		require.NoError(t, err)
		require.Equal(t, previousLen, previous.Len())
		require.Equal(t, len(model), set.Len())
	}
	assert.Equal(t, model, set.Backends())
	var names []string
	for name := range set.EachBackend() {
		names = append(names, name)
	}
	assert.Equal(t, slices.Sorted(maps.Keys(model)), names)
}

// Guards against access keys that stay valid after their client account is deleted
// or its key changes, and against keys that resolve to the wrong account.
func TestKeyHashesFollowAccounts(t *testing.T) {
	set := base().WithChange(config.Change{Revision: 2, Accounts: []config.Account{{Name: "desk", KeyHash: hash("b")}, {Name: "fitters", KeyHash: hash("a")}}})
	set = set.WithChange(config.Change{Revision: 3, Deletes: []config.Reference{{Kind: config.KindAccount, Name: "desk"}}})
	owner, _ := set.AccountByKeyHash(hash("a"))
	assert.Equal(t, "fitters", owner.Name)
	_, ok := set.AccountByKeyHash(hash("b"))
	assert.False(t, ok)
}

// Guards against a diff that omits a difference or lists equal documents.
func TestDiff(t *testing.T) {
	changed := backend("one")
	changed.Slots, changed.Labels = 9, map[string]string{"role": "draft"}
	after := base().WithChange(config.Change{
		Revision: 2, Backends: []config.Backend{changed, backend("two")},
		Deletes: []config.Reference{{Kind: config.KindAccount, Name: "desk"}},
	})
	assert.Equal(t, []config.Difference{
		{Operation: config.OperationDeleted, Kind: config.KindAccount, Name: "desk"},
		{Operation: config.OperationChanged, Kind: config.KindBackend, Name: "one", Fields: []config.FieldDifference{{Field: "Slots", Before: "8", After: "9"}}},
		{Operation: config.OperationAdded, Kind: config.KindBackend, Name: "two"},
	}, config.Diff(base(), after))
	assert.Empty(t, config.Diff(after, after.WithChange(after.Change())))
}

// largeSet returns a set of 2,000 backend servers and a change that updates one of them.
func largeSet() (config.Set, config.Change) {
	change := config.Change{Revision: 1}
	for i := range 2000 {
		change.Backends = append(change.Backends, backend(fmt.Sprintf("runner-%04d", i)))
	}
	changed := backend("runner-1000")
	changed.Slots++
	return config.Set{}.WithChange(change), config.Change{Revision: 2, Backends: []config.Backend{changed}}
}

// BenchmarkWithChange measures the update of one backend server among 2,000.
func BenchmarkWithChange(b *testing.B) {
	set, change := largeSet()
	b.ReportAllocs()
	for b.Loop() {
		_ = set.WithChange(change)
	}
}

// BenchmarkDiff measures the diff of two sets in which one backend server of 2,000 differs.
func BenchmarkDiff(b *testing.B) {
	set, change := largeSet()
	next := set.WithChange(change)
	for b.Loop() {
		_ = config.Diff(set, next)
	}
}

// BenchmarkValidate measures the validation of a change to one backend server among 2,000.
func BenchmarkValidate(b *testing.B) {
	set, change := largeSet()
	validator := config.NewValidator(addressChecker{})
	for b.Loop() {
		_ = validator.Validate(set, change, config.Usage{})
	}
}
