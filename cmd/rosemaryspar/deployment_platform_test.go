package main_test

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/fake/platform"
)

// The methods of this file write what the platform and its operators write: the configuration and the registrations in the store, and the
// settings of the entries.

// revokeTime is how long calls with an access key may still run after the key was removed from the
// configuration.
const revokeTime = 3 * time.Second

// seedAddresses is the number of seeds in the settings of an entry. With two, an entry finds the others while one seed is down.
const seedAddresses = 2

// putConfiguration writes a configuration in which one client account has the access keys.
func (deployment *deployment) putConfiguration(keys ...string) {
	deployment.configVersion += 1 + deployment.random.IntN(3)
	route := func(name, kind string, attempts int, resume bool) map[string]any {
		return map[string]any{
			"Name": name, "Hostname": "soak.example", "Prefix": "/" + name + "/", "RouteType": kind, "Service": "s",
			"TimeoutMs": 3000, "Attempts": attempts, "StreamResume": resume,
		}
	}
	// The answers of the service long are long; only the tests of untrusted clients, and of servers that reset uploads, have a server of it.
	long := func(parent string) map[string]any {
		kind := map[string]string{"stock": "idempotent", "stream": "streaming"}[parent]
		changed := route(parent+"/long", kind, 1, false)
		changed["Prefix"], changed["Service"], changed["TimeoutMs"] = "/"+parent+"/long", "long", 60_000
		return changed
	}
	value, err := json.Marshal(map[string]any{
		"Version":  deployment.configVersion,
		"Routes":   []any{route("order", "non_idempotent", 1, false), route("stock", "idempotent", 3, false), route("stream", "streaming", 3, true), route("stream/once", "streaming", 1, false), long("stock"), long("stream")},
		"Services": []any{map[string]any{"Name": "s"}, map[string]any{"Name": "long"}},
		"Tenants":  []any{map[string]any{"Name": "desk", "ApiKeys": keys}},
	})
	require.NoError(deployment.t, err)
	deployment.configuration = value
	deployment.rewriteConfiguration()
}

// rewriteConfiguration writes the latest configuration again.
func (deployment *deployment) rewriteConfiguration() {
	deployment.store.Put("op/config", deployment.configuration)
}

// putServer registers a server in the store.
func (deployment *deployment) putServer(id string, item []byte) {
	deployment.store.Put("servers/"+id, item)
}

// register registers a runner in the store.
func (deployment *deployment) register(runner *platform.Runner) {
	deployment.putServer(runner.ID(), runner.Item("s", "a", "ready"))
}

// unregister removes a runner from the store.
func (deployment *deployment) unregister(runner *platform.Runner) {
	deployment.store.Delete("servers/" + runner.ID())
}

// registerAgain writes the registrations that a restore of the store has lost, and removes those that it has brought back.
func (deployment *deployment) registerAgain() {
	for number := range deployment.runnersStarted {
		deployment.store.Delete(fmt.Sprint("servers/i-", number+1))
	}
	for _, runner := range deployment.runners {
		deployment.register(runner)
	}
}

// settings returns the content of the settings file of an entry.
func (deployment *deployment) settings(index int) map[string]any {
	settings := map[string]any{
		"NodeName": nodeName(index), "Zone": "a", "Region": "r", "Zones": map[string]string{"a": "r"}, "Seeds": deployment.peerAddresses[:seedAddresses],
		"Listen":   map[string]string{"Front": deployment.frontAddresses[index], "Ready": deployment.readyAddresses[index], "Control": deployment.peerAddresses[index]},
		"Bounds":   map[string]any{"GraceS": 5, "RevokeMs": revokeTime.Milliseconds(), "LeaseMs": 2000, "BudgetSlack": 1000, "UsageWindowS": 1, "UsageLateS": 6},
		"Provider": map[string]string{"Address": deployment.store.Address()},
		"Cloud":    map[string]any{"Address": deployment.cloud.Address(), "Duties": []string{"usage_report"}},

		"Contracts": deployment.contracts,
	}
	if deployment.limits != nil {
		settings["Limits"] = deployment.limits
	}
	return settings
}
