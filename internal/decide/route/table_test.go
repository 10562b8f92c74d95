package route_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/route"
)

func table() route.Table {
	return route.NewTable(7,
		[]route.Route{
			{Name: "all", Host: "a.example", Prefix: "/"},
			{Name: "notes", Host: "a.example", Prefix: "/notes/"},
			{Name: "deep", Host: "a.example", Prefix: "/notes/deep/"},
			{Name: "other", Host: "b.example", Prefix: "/notes/"},
		},
		[]route.Service{{Name: "engines"}, {Name: "desk"}},
		[]route.Account{{Name: "one", Keys: []string{"k1", "k2"}}, {Name: "two", Keys: []string{"k3"}}},
		route.Limits{})
}

// Guards against matching a route with a shorter prefix or of another host.
func TestMatchTakesTheLongestPrefixOfTheHost(t *testing.T) {
	cases := []struct{ host, path, want string }{
		{"a.example", "/notes/x", "notes"},
		{"a.example", "/notes/deep/x", "deep"},
		{"a.example", "/notes", "all"},
		{"A.Example", "/notes/x", "notes"},
		{"a.example:8080", "/x", "all"},
		{"b.example", "/x", ""},
		{"c.example", "/notes/x", ""},
	}
	for _, c := range cases {
		found, ok := table().Match(c.host, c.path)
		assert.Equal(t, c.want != "", ok, c.path)
		assert.Equal(t, c.want, found.Name, c.host+c.path)
	}
}

// Guards against a key that resolves to the wrong client account or to none.
func TestAccountIsFoundByEachOfItsKeys(t *testing.T) {
	for key, want := range map[string]string{"k1": "one", "k2": "one", "k3": "two", "k4": "", "": ""} {
		account, ok := table().Account(key)
		assert.Equal(t, want != "", ok, key)
		assert.Equal(t, want, account.Name, key)
	}
}

// Guards against calls without a key that run as those of an account whose list of keys has an empty one.
func TestEmptyKeyBelongsToNoAccount(t *testing.T) {
	table := route.NewTable(1, nil, nil, []route.Account{{Name: "one", Keys: []string{"", "k1"}}}, route.Limits{})
	_, ok := table.Account("")
	assert.False(t, ok)
	_, ok = table.Account("k1")
	assert.True(t, ok)
}

// Guards against a distribution that differs from the weights, and against a service
// for a route that has none.
func TestServiceFollowsTheWeights(t *testing.T) {
	weighted := route.Route{Services: []route.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	count := map[string]int{}
	for i := range 1000 {
		service, ok := weighted.PickService(float64(i) / 1000)
		assert.True(t, ok)
		count[service]++
	}
	assert.Equal(t, map[string]int{"a": 900, "b": 100}, count)
	_, ok := route.Route{}.PickService(0.5)
	assert.False(t, ok)
}

// Guards against treating a table before the first configuration as a configuration without routes.
func TestZeroTableIsNotLoaded(t *testing.T) {
	assert.False(t, route.Table{}.Loaded())
	assert.True(t, route.NewTable(1, nil, nil, nil, route.Limits{}).Loaded())
}

// Guards against repeating non-idempotent calls and streams that must not be resumed.
func TestOnlyIdempotentCallsAndResumableStreamsAreRepeatable(t *testing.T) {
	assert.True(t, route.Route{Kind: route.KindIdempotent}.Repeatable())
	assert.False(t, route.Route{Kind: route.KindNonIdempotent, Resumable: true}.Repeatable())
	assert.False(t, route.Route{Kind: route.KindStream}.Repeatable())
	assert.True(t, route.Route{Kind: route.KindStream, Resumable: true}.Repeatable())
}
