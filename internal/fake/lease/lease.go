package lease

import (
	"context"
	"errors"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/duty"
)

// ErrOut is returned while the service is out and for lost answers.
var ErrOut = errors.New("lease: service out")

// Service holds leases by key.
type Service struct {
	grants *rcu.Cell[grants]
}

type grants struct {
	revision int64
	keys     map[string]holding
	out      bool
	// lose is how many answers are still lost.
	lose int
}

type holding struct {
	revision int64
	ttl      time.Duration
	expires  time.Time
}

// Lease is the right of one holder to one key.
type Lease struct {
	service  *Service
	key      string
	revision int64
	ttl      time.Duration
}

// New returns a service without leases.
func New() *Service { return &Service{grants: rcu.New(grants{})} }

// Inject sets whether the service is out, and how many answers it loses from now on.
func (service *Service) Inject(out bool, lose int) {
	service.grants.Update(func(grants grants) grants {
		grants.out, grants.lose = out, lose
		return grants
	})
}

// Acquire grants the key to a holder for ttl, and returns nil while another one has it.
func (service *Service) Acquire(_ context.Context, key string, ttl time.Duration) (duty.Lease, error) {
	var granted *Lease
	err := service.call(func(grants grants, now time.Time) grants {
		granted = nil
		if known, ok := grants.keys[key]; ok && now.Before(known.expires) {
			return grants
		}
		grants.revision++
		granted = &Lease{service: service, key: key, revision: grants.revision, ttl: ttl}
		return grants.withKey(key, holding{revision: grants.revision, ttl: ttl, expires: now.Add(ttl)})
	})
	if err != nil || granted == nil {
		return nil, err
	}
	return granted, nil
}

// Number returns the revision at which the key was created.
func (lease *Lease) Number() int64 { return lease.revision }

// TTL returns the lease time.
func (lease *Lease) TTL() time.Duration { return lease.ttl }

// KeepAlive renews the lease, or returns [duty.ErrLost].
func (lease *Lease) KeepAlive(context.Context) error {
	lost := false
	err := lease.service.call(func(grants grants, now time.Time) grants {
		known, ok := grants.keys[lease.key]
		lost = !ok || known.revision != lease.revision || !now.Before(known.expires)
		if lost {
			return grants
		}
		known.expires = now.Add(known.ttl)
		return grants.withKey(lease.key, known)
	})
	if err == nil && lost {
		return duty.ErrLost
	}
	return err
}

// Revoke gives the lease up.
func (lease *Lease) Revoke(context.Context) error {
	return lease.service.call(func(grants grants, now time.Time) grants {
		known, ok := grants.keys[lease.key]
		if !ok || known.revision != lease.revision {
			return grants
		}
		known.expires = now
		return grants.withKey(lease.key, known)
	})
}

// call applies a change unless the service is out; a lost answer leaves the change in place.
func (service *Service) call(change func(grants, time.Time) grants) error {
	now := time.Now()
	_, err := rcu.Apply(service.grants, func(grants grants) (grants, error) {
		if grants.out {
			return grants, ErrOut
		}
		next := change(grants, now)
		if next.lose > 0 {
			next.lose--
			return next, ErrOut
		}
		return next, nil
	})
	return err
}

func (grants grants) withKey(key string, held holding) grants {
	keys := map[string]holding{key: held}
	for name, other := range grants.keys {
		if name != key {
			keys[name] = other
		}
	}
	grants.keys = keys
	return grants
}
