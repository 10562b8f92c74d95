package config

import (
	"fmt"
	"iter"
)

// Set is the immutable configuration at one revision: all its documents.
type Set struct {
	revision int64
	services table[Service]
	accounts table[Account]
	backends table[Backend]
	// keyHashes maps each hashed access key to the name of its client account.
	keyHashes table[string]
}

// RevisionError reports that a change cannot be applied because its revision does
// not directly follow that of the set.
type RevisionError struct {
	// Have is the revision of the set, Change the revision of the change.
	Have, Change int64
}

// Error returns a message with both revisions.
func (revisionError *RevisionError) Error() string {
	return fmt.Sprintf("change %d does not follow revision %d", revisionError.Change, revisionError.Have)
}

// Revision returns the number of changes from the empty set to this one.
func (set Set) Revision() int64 { return set.revision }

// Service returns the service with the given name, or false if there is none.
func (set Set) Service(name string) (Service, bool) { return set.services.get(name) }

// Account returns the client account with the given name, or false if there is none.
func (set Set) Account(name string) (Account, bool) { return set.accounts.get(name) }

// Backend returns the backend server with the given name, or false if there is none.
func (set Set) Backend(name string) (Backend, bool) { return set.backends.get(name) }

// AccountByKeyHash returns the client account whose access key has the given hex SHA-256, or false if there is none.
func (set Set) AccountByKeyHash(hash string) (Account, bool) {
	name, _ := set.keyHashes.get(hash)
	return set.Account(name)
}

// Services returns all services by name; the caller must not change the map.
func (set Set) Services() map[string]Service { return set.services.asMap() }

// Accounts returns all client accounts by name; the caller must not change the map.
func (set Set) Accounts() map[string]Account { return set.accounts.asMap() }

// Backends returns all backend servers by name; the caller must not change the map.
//
// The first call on a set builds the map; [Set.EachBackend] iterates without it.
func (set Set) Backends() map[string]Backend { return set.backends.asMap() }

// EachService iterates over the services in name order.
func (set Set) EachService() iter.Seq2[string, Service] { return set.services.all() }

// EachAccount iterates over the client accounts in name order.
func (set Set) EachAccount() iter.Seq2[string, Account] { return set.accounts.all() }

// EachBackend iterates over the backend servers in name order.
func (set Set) EachBackend() iter.Seq2[string, Backend] { return set.backends.all() }

// Len returns the total number of documents.
func (set Set) Len() int {
	return set.services.len() + set.accounts.len() + set.backends.len()
}

// Has reports whether the set contains the referenced document.
func (set Set) Has(reference Reference) bool {
	found := false
	switch reference.Kind {
	case KindService:
		_, found = set.Service(reference.Name)
	case KindAccount:
		_, found = set.Account(reference.Name)
	case KindBackend:
		_, found = set.Backend(reference.Name)
	}
	return found
}

// Change returns a change that puts all documents of the set, each kind in name order.
func (set Set) Change() Change {
	change := Change{Revision: set.revision}
	for _, service := range set.EachService() {
		change.Services = append(change.Services, service)
	}
	for _, account := range set.EachAccount() {
		change.Accounts = append(change.Accounts, account)
	}
	for _, backend := range set.EachBackend() {
		change.Backends = append(change.Backends, backend)
	}
	return change
}

// WithoutMaps returns the set without the maps cached by [Set.Services], [Set.Accounts] and [Set.Backends].
//
// Callers that retain many sets retain this form: it shares all unchanged documents
// with other sets, whereas each cached map is as large as the whole set.
func (set Set) WithoutMaps() Set {
	set.services = set.services.withoutMapCache()
	set.accounts = set.accounts.withoutMapCache()
	set.backends = set.backends.withoutMapCache()
	set.keyHashes = set.keyHashes.withoutMapCache()
	return set
}

// WithNext returns the set after the change, or a [*RevisionError] if the change does not directly follow the set.
func (set Set) WithNext(change Change) (Set, error) {
	if change.Revision != set.revision+1 {
		return set, &RevisionError{Have: set.revision, Change: change.Revision}
	}
	return set.WithChange(change), nil
}

// WithChange returns the set after the change without checking its revision.
//
// Both sets share the documents that the change does not touch.
func (set Set) WithChange(change Change) Set {
	next := set
	next.revision = change.Revision
	next.services = set.services.with(change.deleted(KindService), change.Services, serviceName)
	next.accounts = set.accounts.with(change.deleted(KindAccount), change.Accounts, accountName)
	next.backends = set.backends.with(change.deleted(KindBackend), change.Backends, backendName)
	next.keyHashes = set.keyHashes.with(set.freedHashes(change), nil, nil)
	for _, account := range change.Accounts {
		next.keyHashes = next.keyHashes.with(nil, []string{account.Name}, func(string) string { return account.KeyHash })
	}
	return next
}

// freedHashes returns the current key hashes of the accounts that the change deletes or puts.
func (set Set) freedHashes(change Change) []string {
	var hashes []string
	appendHash := func(name string) {
		if account, ok := set.Account(name); ok {
			hashes = append(hashes, account.KeyHash)
		}
	}
	for _, name := range change.deleted(KindAccount) {
		appendHash(name)
	}
	for _, account := range change.Accounts {
		appendHash(account.Name)
	}
	return hashes
}

func serviceName(service Service) string { return service.Name }

func accountName(account Account) string { return account.Name }

func backendName(backend Backend) string { return backend.Name }
