package backend

import (
	"maps"
	"slices"
	"time"
)

const (
	// ejectAt and restoreAt are multiples of the equals' time; the gap keeps a
	// server near the bound from changing back and forth.
	ejectAt   = 3
	restoreAt = 1.5
	// maxEjectedShare bounds the ejected servers of a service: with more of them
	// slow, the rest would be overloaded by the work moved to them.
	maxEjectedShare = 1.0 / 3
	// probeLongAfter and probeShortAfter are the times without work after which an
	// ejected server gets one request again. Long work goes first, because it shows
	// the server's speed token by token and is delayed less in proportion.
	probeLongAfter  = 2 * time.Second
	probeShortAfter = 10 * time.Second
)

// Health is what an entry knows of the servers of a service together.
type Health struct {
	// TokenTime is the time per token between the chunks of an answer.
	TokenTime Baseline
	// AnswerTime is the time per unit of work to the first token or to the answer.
	AnswerTime Baseline

	// ejected maps the servers that get probes only to when they were ejected or
	// last probed, and order lists them by that time.
	ejected map[string]time.Time
	order   []string
}

// Ejected reports whether the server of that name gets probes only.
func (health Health) Ejected(server string) bool {
	_, ok := health.ejected[server]
	return ok
}

// EjectedCount returns the number of servers that get probes only.
func (health Health) EjectedCount() int { return len(health.ejected) }

// WithEjected returns the health with a slow server of size ejected, and whether it is ejected now.
func (health Health) WithEjected(server string, now time.Time, size int) (Health, bool) {
	if health.Ejected(server) {
		return health, false
	}
	if float64(len(health.ejected)+1) > maxEjectedShare*float64(size) {
		return health, false
	}
	return health.withTouched(server, now), true
}

// WithRestored returns the health with server among those that get work.
func (health Health) WithRestored(server string) Health {
	return health.WithMembers(func(other string) bool { return other != server })
}

// WithProbeDue returns the health with the next probe of an ejected server due at once.
func (health Health) WithProbeDue(server string) Health {
	if !health.Ejected(server) || health.ejected[server].IsZero() {
		return health
	}
	health = health.withTouched(server, time.Time{})
	last := len(health.order) - 1
	health.order = slices.Insert(health.order[:last], 0, server)
	return health
}

// DueProbe returns the server whose probe has waited longest, if one is due after that time.
func (health Health) DueProbe(now time.Time, after time.Duration) (string, bool) {
	if len(health.order) == 0 {
		return "", false
	}
	first := health.order[0]
	return first, now.Sub(health.ejected[first]) >= after
}

// WithProbe returns the health after a probe of server, and whether one was due.
func (health Health) WithProbe(server string, now time.Time, after time.Duration) (Health, bool) {
	touched, ok := health.ejected[server]
	if !ok || now.Sub(touched) < after {
		return health, false
	}
	return health.withTouched(server, now), true
}

// WithMembers returns the health without ejected servers that are no longer members.
func (health Health) WithMembers(member func(server string) bool) Health {
	gone := func(server string) bool { return !member(server) }
	ejected := maps.Clone(health.ejected)
	maps.DeleteFunc(ejected, func(server string, _ time.Time) bool { return gone(server) })
	health.ejected = ejected
	health.order = slices.DeleteFunc(slices.Clone(health.order), gone)
	return health
}

// withTouched returns the health with server ejected and its next probe last in order.
func (health Health) withTouched(server string, now time.Time) Health {
	health = health.WithRestored(server)
	if health.ejected == nil {
		health.ejected = map[string]time.Time{}
	}
	health.ejected[server] = now
	health.order = append(health.order, server)
	return health
}
