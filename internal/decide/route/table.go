package route

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/rollout"
)

// Table is an index of one configuration. The zero value has no routes, and its Loaded method returns false.
type Table struct {
	version  int64
	hosts    map[string][]Route
	services map[string]Service
	accounts []Account
	keys     map[string]int // index in accounts by access key
	// requiresKey is kept apart from the accounts: with the last of them, all access keys are revoked, and none becomes needless.
	requiresKey bool
	limits      Limits
	rollouts    rollout.Plans
	// malformedRollouts are the keys of orders and records of roll-outs that could not be decoded.
	malformedRollouts []string
}

// Limits are the limits on the size and timing of requests from callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// NewTable returns the table of a configuration. Calls need an access key if there are client accounts, see also [Table.WithRequiredKey].
func NewTable(version int64, routes []Route, services []Service, accounts []Account, limits Limits) Table {
	table := Table{
		version:     version,
		hosts:       map[string][]Route{},
		services:    map[string]Service{},
		accounts:    accounts,
		keys:        map[string]int{},
		limits:      limits,
		requiresKey: len(accounts) > 0,
	}
	for _, route := range routes {
		host := strings.ToLower(route.Host)
		table.hosts[host] = append(table.hosts[host], route)
	}
	for _, hostRoutes := range table.hosts {
		slices.SortStableFunc(hostRoutes, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, service := range services {
		table.services[service.Name] = service
	}
	for i, account := range accounts {
		for _, key := range account.Keys {
			// An empty key would let calls without a key pass for those of the account.
			if key != "" {
				table.keys[key] = i
			}
		}
	}
	return table
}

// Loaded reports whether the table was built from a configuration.
func (table Table) Loaded() bool { return table.hosts != nil }

// Version returns the version of the configuration.
func (table Table) Version() int64 { return table.version }

// Limits returns the limits on requests from callers.
func (table Table) Limits() Limits { return table.limits }

// WithRollouts returns the table with the roll-outs that were read together with the configuration, and the keys of those that
// are malformed.
func (table Table) WithRollouts(rollouts rollout.Plans, malformed []string) Table {
	table.rollouts, table.malformedRollouts = rollouts, malformed
	return table
}

// MalformedRollouts returns the keys of the orders and records of roll-outs that could not be decoded.
func (table Table) MalformedRollouts() []string { return table.malformedRollouts }

// Rollouts returns the roll-outs by service, which the caller must not change.
func (table Table) Rollouts() rollout.Plans { return table.rollouts }

// WithRequiredKey returns the table of a configuration that manages access keys, so that calls need one even if there is no client account.
func (table Table) WithRequiredKey() Table {
	table.requiresKey = true
	return table
}

// RequiresKey reports whether calls on routes that are not public need an access key.
func (table Table) RequiresKey() bool { return table.requiresKey }

// Match returns the route of a call by its host, with or without a port, and its path, or false if there is none.
func (table Table) Match(host, path string) (Route, bool) {
	host = strings.ToLower(host)
	routes, ok := table.hosts[host]
	if !ok {
		if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
			routes = table.hosts[host[:colon]]
		}
	}
	for _, route := range routes {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return Route{}, false
}

// Routes returns all routes sorted by host and name.
func (table Table) Routes() []Route {
	var routes []Route
	for _, hostRoutes := range table.hosts {
		routes = append(routes, hostRoutes...)
	}
	slices.SortFunc(routes, func(a, b Route) int { return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Name, b.Name)) })
	return routes
}

// Account returns the client account with the given access key, or false if there is none.
func (table Table) Account(key string) (Account, bool) {
	index, ok := table.keys[key]
	if !ok {
		return Account{}, false
	}
	return table.accounts[index], true
}

// Accounts returns all client accounts; the caller must not change the slice.
func (table Table) Accounts() []Account { return table.accounts }

// Service returns the service with the given name, or false if there is none.
func (table Table) Service(name string) (Service, bool) {
	service, ok := table.services[name]
	return service, ok
}

// Services returns all services sorted by name.
func (table Table) Services() []Service {
	services := make([]Service, 0, len(table.services))
	for _, service := range table.services {
		services = append(services, service)
	}
	slices.SortFunc(services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	return services
}
