package forward_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/route"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/forward"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// withAccounts gives the environment the configuration of another version, which has the routes and the accounts given. Keys are required
// also without accounts.
func (environment *environment) withAccounts(accounts ...route.Account) {
	environment.table = route.NewTable(environment.table.Version()+1, environment.table.Routes(), environment.table.Services(), accounts, route.Limits{}).WithRequiredKey()
}

// Guards against calls that run with a revoked key on an entry that was suspended: the key was found in the configuration from before the
// suspension, and the age of the next one passed the check.
func TestKeyIsCheckedAgainstTheConfigurationWhoseAgeIsChecked(t *testing.T) {
	desk := route.Account{Name: "desk", Keys: []string{"k"}}
	for name, test := range map[string]struct {
		// before and after are the entry's knowledge when the call is matched, and when it is about to be sent.
		before, after func(environment *environment)
		path, want    string
	}{
		"the key is removed": {nil, func(environment *environment) {
			environment.withAccounts(route.Account{Name: "desk", Keys: []string{"k2"}})
		}, "/x", "refused Unauthenticated"},
		"the last account is removed": {nil, func(environment *environment) { environment.withAccounts() }, "/x", "refused Unauthenticated"},
		"the key moves to another owner": {nil, func(environment *environment) {
			environment.withAccounts(route.Account{Name: "other", Keys: []string{"k"}})
		}, "/x", "refused StoreOut"},
		"a key is removed, and the next configuration is old too": {nil, func(environment *environment) {
			environment.withAccounts()
			environment.age = 2 * time.Second
		}, "/x", "refused StoreOut"},
		"keys are introduced": {func(environment *environment) {
			environment.table = route.NewTable(1, environment.table.Routes(), environment.table.Services(), nil, route.Limits{})
		}, func(environment *environment) { environment.withAccounts() }, "/x", "refused Unauthenticated"},
		"the key stays":          {nil, func(environment *environment) { environment.withAccounts(desk) }, "/x", "answered"},
		"the route needs no key": {nil, func(environment *environment) { environment.withAccounts() }, "/open/x", "answered"},
		"an account without a name": {
			func(environment *environment) { environment.withAccounts(route.Account{Keys: []string{"k"}}) },
			func(environment *environment) { environment.age = time.Minute }, "/x", "refused StoreOut",
		},
	} {
		t.Run(name, func(t *testing.T) {
			environment := newEnvironment(route.KindNonIdempotent)
			environment.age = time.Minute // as after a suspension
			if test.before != nil {
				test.before(environment)
			}
			learn := func(next request.Handler) request.Handler {
				return request.HandlerFunc(func(ctx context.Context, exchange request.Exchange) (request.Exchange, error) {
					environment.age = 0
					test.after(environment)
					return next.Handle(ctx, exchange)
				})
			}
			path := request.Chain(environment.delivery(), forward.Match(environment), learn)
			opaque := call.Opaque{Method: "POST", Target: test.path, Path: test.path, Host: "a", Key: "k"}
			_, err := path.Handle(t.Context(), request.Exchange{Reply: environment, Request: call.Request{ID: "1", Arrived: time.Now(), Opaque: opaque}})
			assert.Equal(t, test.want, outcome(err))
			assert.Equal(t, test.want == "answered", len(environment.sent) > 0, "sent to a server")
		})
	}
}
