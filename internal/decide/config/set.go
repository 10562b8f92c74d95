package config

import (
	"fmt"
	"iter"
)

// Set is all documents at one revision.
type Set struct {
	revision int64
	services table[Service]
	accounts table[Account]
	backends table[Backend]
	// keyHashes gives the name of the client account for each hashed access key.
	keyHashes table[string]
}

// RevisionError is a change that does not follow the set it was to be applied to.
type RevisionError struct {
	// Have is the revision of the set, Change that of the change.
	Have, Change int64
}

// Error names both revisions.
func (order *RevisionError) Error() string {
	return fmt.Sprintf("change %d does not follow revision %d", order.Change, order.Have)
}

// Revision returns the number of changes that led to the set.
func (set Set) Revision() int64 { return set.revision }

// Service returns the service of that name.
func (set Set) Service(name string) (Service, bool) { return set.services.get(name) }

// Account returns the client account of that name.
func (set Set) Account(name string) (Account, bool) { return set.accounts.get(name) }

// Backend returns the backend server of that name.
func (set Set) Backend(name string) (Backend, bool) { return set.backends.get(name) }

// AccountByKeyHash returns the client account whose access key has that hex SHA-256.
func (set Set) AccountByKeyHash(hash string) (Account, bool) {
	name, _ := set.keyHashes.get(hash)
	return set.Account(name)
}

// Services returns all services by name, which the caller must not change.
func (set Set) Services() map[string]Service { return set.services.plain() }

// Accounts returns all client accounts by name, which the caller must not change.
func (set Set) Accounts() map[string]Account { return set.accounts.plain() }

// Backends returns all backend servers by name, which the caller must not change.
//
// The first call on a set builds the map; [Set.EachBackend] needs none.
func (set Set) Backends() map[string]Backend { return set.backends.plain() }

// EachService iterates over the services in the order of names.
func (set Set) EachService() iter.Seq2[string, Service] { return set.services.all() }

// EachAccount iterates over the client accounts in the order of names.
func (set Set) EachAccount() iter.Seq2[string, Account] { return set.accounts.all() }

// EachBackend iterates over the backend servers in the order of names.
func (set Set) EachBackend() iter.Seq2[string, Backend] { return set.backends.all() }

// Documents returns the number of documents of all kinds.
func (set Set) Documents() int {
	return set.services.len() + set.accounts.len() + set.backends.len()
}

// Has reports whether the document exists.
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

// Change returns the change that puts all documents of the set, in the order of names.
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

// WithoutMaps returns the set without the maps that [Set.Backends] and its siblings built.
//
// Whoever keeps many sets keeps these, which cost only what their changes changed.
func (set Set) WithoutMaps() Set {
	set.services = set.services.withoutPlain()
	set.accounts = set.accounts.withoutPlain()
	set.backends = set.backends.withoutPlain()
	set.keyHashes = set.keyHashes.withoutPlain()
	return set
}

// WithNext returns the set after change, or an [*OrderError] if the change is not the next one.
func (set Set) WithNext(change Change) (Set, error) {
	if change.Revision != set.revision+1 {
		return set, &RevisionError{Have: set.revision, Change: change.Revision}
	}
	return set.WithChange(change), nil
}

// WithChange returns the set after change, whatever its revision.
//
// The sets share all that the change does not touch.
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

// freedHashes returns the key hashes of the accounts that the change deletes or puts.
func (set Set) freedHashes(change Change) []string {
	var hashes []string
	free := func(name string) {
		if account, ok := set.Account(name); ok {
			hashes = append(hashes, account.KeyHash)
		}
	}
	for _, name := range change.deleted(KindAccount) {
		free(name)
	}
	for _, account := range change.Accounts {
		free(account.Name)
	}
	return hashes
}

func serviceName(service Service) string { return service.Name }

func accountName(account Account) string { return account.Name }

func backendName(backend Backend) string { return backend.Name }
