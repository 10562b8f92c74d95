package backend

import (
	"maps"
	"slices"
	"time"
)

const (
	// ejectSlowdown and restoreSlowdown are the slowdowns at which a server is ejected and
	// restored. The gap between them keeps a server near a bound from alternating.
	ejectSlowdown   = 3
	restoreSlowdown = 1.5
	// maxEjectedShare bounds the fraction of a service's servers that are ejected: with more,
	// the work moved away from them would overload the remaining servers.
	maxEjectedShare = 1.0 / 3
	// longProbeInterval and shortProbeInterval are the times without work after which an
	// ejected server gets one long or short request as a probe. Long work probes earlier,
	// since it gives a sample of the speed with each token and is delayed less in proportion.
	longProbeInterval  = 2 * time.Second
	shortProbeInterval = 10 * time.Second
)

// Health is the state that an entry keeps for all servers of a service together. It is immutable.
type Health struct {
	// TokenTime is the usual time per token between the chunks of an answer.
	TokenTime Baseline
	// AnswerTime is the usual time per unit of work ([WorkUnits]) up to the first token or
	// the complete answer.
	AnswerTime Baseline

	// ejected maps each ejected server to the time of its ejection or last probe, zero if a
	// probe is due at once, and probeOrder lists the servers by that time, the earliest first.
	ejected    map[string]time.Time
	probeOrder []string
}

// IsEjected reports whether the server of that name is ejected and gets only probes.
func (health Health) IsEjected(server string) bool {
	_, ok := health.ejected[server]
	return ok
}

// EjectedCount returns the number of ejected servers.
func (health Health) EjectedCount() int { return len(health.ejected) }

// WithEjected returns the health with server ejected, and whether that was done.
//
// It changes nothing if the server is ejected already, or if more than maxEjectedShare of the
// service's servers, whose number is size, would be ejected.
func (health Health) WithEjected(server string, now time.Time, size int) (Health, bool) {
	if health.IsEjected(server) {
		return health, false
	}
	if float64(len(health.ejected)+1) > maxEjectedShare*float64(size) {
		return health, false
	}
	return health.withProbeLast(server, now), true
}

// WithRestored returns the health with server no longer ejected.
func (health Health) WithRestored(server string) Health {
	return health.WithOnlyMembers(func(other string) bool { return other != server })
}

// WithProbeDue returns the health with the next probe of an ejected server due at once.
func (health Health) WithProbeDue(server string) Health {
	if !health.IsEjected(server) || health.ejected[server].IsZero() {
		return health
	}
	health = health.withProbeLast(server, time.Time{})
	last := len(health.probeOrder) - 1
	health.probeOrder = slices.Insert(health.probeOrder[:last], 0, server)
	return health
}

// DueProbe returns the ejected server that has been without a probe for longest, and
// whether that has been so for at least the time after.
func (health Health) DueProbe(now time.Time, after time.Duration) (string, bool) {
	if len(health.probeOrder) == 0 {
		return "", false
	}
	server := health.probeOrder[0]
	return server, now.Sub(health.ejected[server]) >= after
}

// WithProbe returns the health after a probe of server was started, or unchanged and
// false if none was due, since the server is not ejected or was ejected or probed less
// than the time after ago.
func (health Health) WithProbe(server string, now time.Time, after time.Duration) (Health, bool) {
	lastProbe, ok := health.ejected[server]
	if !ok || now.Sub(lastProbe) < after {
		return health, false
	}
	return health.withProbeLast(server, now), true
}

// WithOnlyMembers returns the health without ejected servers that are no longer members of the service.
func (health Health) WithOnlyMembers(member func(server string) bool) Health {
	gone := func(server string) bool { return !member(server) }
	ejected := maps.Clone(health.ejected)
	maps.DeleteFunc(ejected, func(server string, _ time.Time) bool { return gone(server) })
	health.ejected = ejected
	health.probeOrder = slices.DeleteFunc(slices.Clone(health.probeOrder), gone)
	return health
}

// withProbeLast returns the health with server ejected or probed at now, so that it comes last in the order
// of probes.
func (health Health) withProbeLast(server string, now time.Time) Health {
	health = health.WithRestored(server)
	if health.ejected == nil {
		health.ejected = map[string]time.Time{}
	}
	health.ejected[server] = now
	health.probeOrder = append(health.probeOrder, server)
	return health
}
