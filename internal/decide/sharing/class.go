package sharing

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/route"
)

// Class is the calls of one client account, empty for none, with one priority, 0 for the highest.
type Class struct {
	Account  string
	Priority int
}

// ClassOf returns the class of an account's calls on a route. The account's own priority takes precedence.
func ClassOf(route route.Route, account route.Account) Class {
	if account.HasPriority {
		return Class{account.Name, account.Priority}
	}
	return Class{account.Name, route.Priority}
}

// Scope is the calls of a service whose calls differ in their priority.
type Scope struct {
	// Classes are ordered by priority, the highest first.
	Classes []Class
	// Target is the shortest target latency of its routes, 0 for none.
	Target time.Duration
}

// Scopes returns the scope of each service whose calls differ in their priority.
func Scopes(table route.Table) map[string]Scope {
	byService, targets := map[string]map[Class]bool{}, map[string]time.Duration{}
	for _, served := range table.Routes() {
		accounts := table.Accounts()
		if served.Public || len(accounts) == 0 {
			accounts = append(slices.Clone(accounts), route.Account{})
		}
		for _, weighted := range served.Services {
			if byService[weighted.Service] == nil {
				byService[weighted.Service] = map[Class]bool{}
			}
			if target := targets[weighted.Service]; served.Target > 0 && (target == 0 || served.Target < target) {
				targets[weighted.Service] = served.Target
			}
			for _, account := range accounts {
				byService[weighted.Service][ClassOf(served, account)] = true
			}
		}
	}
	scopes := map[string]Scope{}
	for service, set := range byService {
		classes := slices.SortedFunc(maps.Keys(set), func(a, b Class) int {
			return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Account, b.Account))
		})
		if classes[0].Priority != classes[len(classes)-1].Priority {
			scopes[service] = Scope{classes, targets[service]}
		}
	}
	return scopes
}

const (
	// outputWeight is the work of a token that an engine generates, as a multiple of that of a prompt token that it reads.
	outputWeight = 10
	// plainWork is the work of a call to a plain service. Only its ratio to the work of other calls of the service counts.
	plainWork = 1
)

// WorkOf returns the expected work of a call: calls of plain services are alike, and those of engines count in prompt tokens.
func WorkOf(prompt call.Prompt, engine bool) float64 {
	if !engine {
		return plainWork
	}
	return float64(max(1, prompt.Input) + outputWeight*max(0, prompt.Output))
}

// The kinds of the figures that entries exchange.
const (
	kindAsked = "asked"
	kindDone  = "done"
	kindEnded = "ended"
	kindTaken = "taken"
)

// key returns the key under which entries exchange a figure of a service. A hash keeps the messages short: each entry knows
// the classes by the configuration.
func key(kind, service string, class Class) uint32 {
	return uint32(xxhash.Sum64String(kind + "\x00" + service + "\x00" + class.Account + "\x00" + strconv.Itoa(class.Priority)))
}
