package route

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Table is one configuration. The zero value has no routes, and Loaded reports false.
type Table struct {
	version  int64
	hosts    map[string][]Route
	services map[string]Service
	accounts []Account
	keys     map[string]int
	limits   Limits
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// NewTable returns the table of a configuration.
func NewTable(version int64, routes []Route, services []Service, accounts []Account, limits Limits) Table {
	table := Table{
		version:  version,
		hosts:    map[string][]Route{},
		services: map[string]Service{},
		accounts: accounts,
		keys:     map[string]int{},
		limits:   limits,
	}
	for _, route := range routes {
		host := strings.ToLower(route.Host)
		table.hosts[host] = append(table.hosts[host], route)
	}
	for _, found := range table.hosts {
		slices.SortStableFunc(found, func(one, other Route) int { return cmp.Compare(len(other.Prefix), len(one.Prefix)) })
	}
	for _, service := range services {
		table.services[service.Name] = service
	}
	for i, account := range accounts {
		for _, key := range account.Keys {
			table.keys[key] = i
		}
	}
	return table
}

// Loaded reports whether the table holds a configuration.
func (table Table) Loaded() bool { return table.hosts != nil }

// Version returns the version of the configuration.
func (table Table) Version() int64 { return table.version }

// Limits returns what callers may send.
func (table Table) Limits() Limits { return table.limits }

// Keyed reports whether calls need an access key.
func (table Table) Keyed() bool { return len(table.accounts) > 0 }

// Match returns the route of a call.
func (table Table) Match(host, path string) (Route, bool) {
	host = strings.ToLower(host)
	routes, ok := table.hosts[host]
	if !ok {
		if at := strings.LastIndexByte(host, ':'); at >= 0 {
			routes = table.hosts[host[:at]]
		}
	}
	for _, route := range routes {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return Route{}, false
}

// Account returns the client account that holds an access key.
func (table Table) Account(key string) (Account, bool) {
	at, ok := table.keys[key]
	if !ok {
		return Account{}, false
	}
	return table.accounts[at], true
}

// Accounts returns all client accounts, which the caller must not change.
func (table Table) Accounts() []Account { return table.accounts }

// Service returns the service of that name.
func (table Table) Service(name string) (Service, bool) {
	service, ok := table.services[name]
	return service, ok
}

// Services returns all services in the order of their names.
func (table Table) Services() []Service {
	services := make([]Service, 0, len(table.services))
	for _, service := range table.services {
		services = append(services, service)
	}
	slices.SortFunc(services, func(one, other Service) int { return cmp.Compare(one.Name, other.Name) })
	return services
}
