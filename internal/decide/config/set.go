package config

import (
	"maps"
)

// Set is all documents at one revision.
type Set struct {
	revision  int64
	services  map[string]Service
	accounts  map[string]Account
	backends  map[string]Backend
	keyHashes map[string]string
}

// Change puts and deletes documents as one step.
type Change struct {
	// Revision is that of the set which the change yields, one more than the set it applies to.
	Revision int64
	Author   string `json:",omitempty"`
	Services []Service
	Accounts []Account
	Backends []Backend
	Deletes  []Reference
}

// Reference names one document.
type Reference struct {
	Kind Kind
	Name string
}

// Revision returns the number of changes that led to the set.
func (set Set) Revision() int64 { return set.revision }

// Service returns the service of that name.
func (set Set) Service(name string) (Service, bool) {
	service, ok := set.services[name]
	return service, ok
}

// Account returns the client account of that name.
func (set Set) Account(name string) (Account, bool) {
	account, ok := set.accounts[name]
	return account, ok
}

// AccountByKeyHash returns the client account whose access key has that hex SHA-256.
func (set Set) AccountByKeyHash(hash string) (Account, bool) {
	return set.Account(set.keyHashes[hash])
}

// Services returns all services by name, which the caller must not change.
func (set Set) Services() map[string]Service { return set.services }

// Accounts returns all client accounts by name, which the caller must not change.
func (set Set) Accounts() map[string]Account { return set.accounts }

// Backends returns all backend servers by name, which the caller must not change.
func (set Set) Backends() map[string]Backend { return set.backends }

// WithChange returns the set after change.
//
// Maps of kinds that the change does not touch are shared with the old set.
func (set Set) WithChange(change Change) Set {
	next := set
	next.revision = change.Revision
	next.services = merged(set.services, change, KindService, change.Services, func(service Service) string { return service.Name })
	next.accounts = merged(set.accounts, change, KindAccount, change.Accounts, func(account Account) string { return account.Name })
	next.backends = merged(set.backends, change, KindBackend, change.Backends, func(backend Backend) string { return backend.Name })
	if touches(change, KindAccount, len(change.Accounts)) {
		next.keyHashes = map[string]string{}
		for name, account := range next.accounts {
			next.keyHashes[account.KeyHash] = name
		}
	}
	return next
}

func merged[T any](current map[string]T, change Change, kind Kind, puts []T, name func(T) string) map[string]T {
	if !touches(change, kind, len(puts)) {
		return current
	}
	next := maps.Clone(current)
	if next == nil {
		next = map[string]T{}
	}
	for _, reference := range change.Deletes {
		if reference.Kind == kind {
			delete(next, reference.Name)
		}
	}
	for _, document := range puts {
		next[name(document)] = document
	}
	return next
}

func touches(change Change, kind Kind, puts int) bool {
	for _, reference := range change.Deletes {
		if reference.Kind == kind {
			return true
		}
	}
	return puts > 0
}
