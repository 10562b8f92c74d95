package lease

import (
	"context"
	"errors"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/duty"
)

// ErrUnavailable is returned while the service is unavailable, and for a change whose answer is lost.
var ErrUnavailable = errors.New("lease: no answer from the lease service")

// Service grants at most one unexpired lease per key.
type Service struct {
	state *rcu.Cell[state]
}

type state struct {
	revision    int64
	grants      map[string]grant
	unavailable bool
	// answersToLose is how many further calls take effect without an answer.
	answersToLose int
}

// grant is the latest lease of a key, which may have expired. Its revision identifies it.
type grant struct {
	revision int64
	ttl      time.Duration
	expires  time.Time
}

// Lease is the right of one holder to one key, granted by a [Service].
type Lease struct {
	service  *Service
	key      string
	revision int64
	ttl      time.Duration
}

// New returns a service that has granted no lease.
func New() *Service { return &Service{state: rcu.New(state{})} }

// Inject sets whether the service is unavailable, and how many of the next calls take effect without an answer.
func (service *Service) Inject(unavailable bool, lostAnswers int) {
	service.state.Update(func(state state) state {
		state.unavailable, state.answersToLose = unavailable, lostAnswers
		return state
	})
}

// Acquire grants a lease of the key for ttl. It returns nil without an error while an unexpired lease exists.
func (service *Service) Acquire(_ context.Context, key string, ttl time.Duration) (duty.Lease, error) {
	var granted *Lease
	err := service.call(func(state state, now time.Time) state {
		granted = nil
		if existing, ok := state.grants[key]; ok && now.Before(existing.expires) {
			return state
		}
		state.revision++
		granted = &Lease{service: service, key: key, revision: state.revision, ttl: ttl}
		return state.withKey(key, grant{revision: state.revision, ttl: ttl, expires: now.Add(ttl)})
	})
	if err != nil || granted == nil {
		return nil, err
	}
	return granted, nil
}

// FencingNumber returns the fencing number: the revision at which the lease was granted.
func (lease *Lease) FencingNumber() int64 { return lease.revision }

// TTL returns the time for which the lease is granted and renewed.
func (lease *Lease) TTL() time.Duration { return lease.ttl }

// KeepAlive renews the lease for its TTL, or returns [duty.ErrLeaseLost] if it has expired or was revoked.
func (lease *Lease) KeepAlive(context.Context) error {
	lost := false
	err := lease.service.call(func(state state, now time.Time) state {
		existing, ok := state.grants[lease.key]
		lost = !ok || existing.revision != lease.revision || !now.Before(existing.expires)
		if lost {
			return state
		}
		existing.expires = now.Add(existing.ttl)
		return state.withKey(lease.key, existing)
	})
	if err == nil && lost {
		return duty.ErrLeaseLost
	}
	return err
}

// Revoke ends the lease at once. It does not touch a later lease of the same key.
func (lease *Lease) Revoke(context.Context) error {
	return lease.service.call(func(state state, now time.Time) state {
		existing, ok := state.grants[lease.key]
		if !ok || existing.revision != lease.revision {
			return state
		}
		existing.expires = now
		return state.withKey(lease.key, existing)
	})
}

// call applies change to the state, or returns [ErrUnavailable] while the service is unavailable.
// When the answer is lost it also returns [ErrUnavailable], although the change is applied.
func (service *Service) call(change func(state, time.Time) state) error {
	now := time.Now()
	_, err := rcu.Apply(service.state, func(state state) (state, error) {
		if state.unavailable {
			return state, ErrUnavailable
		}
		next := change(state, now)
		if next.answersToLose > 0 {
			next.answersToLose--
			return next, ErrUnavailable
		}
		return next, nil
	})
	return err
}

func (state state) withKey(key string, granted grant) state {
	grants := map[string]grant{key: granted}
	for existingKey, existing := range state.grants {
		if existingKey != key {
			grants[existingKey] = existing
		}
	}
	state.grants = grants
	return state
}
