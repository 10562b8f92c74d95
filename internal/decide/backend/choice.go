package backend

import (
	"slices"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// Reason says why a server was chosen or passed over.
type Reason string

// The reasons of a choice.
const (
	ReasonLeastLoaded  Reason = "LeastLoaded"
	ReasonMoreLoaded   Reason = "MoreLoaded"
	ReasonPrefixCached Reason = "PrefixCached"
	ReasonProbe        Reason = "Probe"
	ReasonSlower       Reason = "Slower"
	ReasonEjected      Reason = "Ejected"
	ReasonLeaving      Reason = "Leaving"
	ReasonTried        Reason = "Tried"
	ReasonNotSampled   Reason = "Unseen"
	ReasonOtherDomain  Reason = "OtherDomain"
	ReasonNoCandidate  Reason = "NoCandidate"
)

const (
	// sampleSize is how many candidates a choice compares; more than a few brings
	// little over two random choices and costs time on the request path.
	sampleSize = 3
	// maxDraws bounds the candidates drawn. At the largest share of ejected servers
	// all of eight draws are ejected once in 6,500 choices.
	maxDraws = 8
	// maxConsidered is the drawn candidates, the holder of the prefix and the probe that is due.
	maxConsidered = maxDraws + 2
	// localDraws is how many of the candidates are drawn from the own failure domain.
	localDraws = 2
	// otherDomainCost outweighs moderate differences in load only. Work that stays
	// in the own failure domain also shows the entry more of each server there.
	otherDomainCost = 1.15
	// cachedGain is what a cached prefix saves of an answer's time.
	cachedGain = 0.6
	// unseenCost keeps short work at servers whose speed the entry has seen within
	// seenFor: a short answer at a server that was slowed unseen takes many times as
	// long. Long work explores, since it shows the speed token by token.
	unseenCost = 1.5
	seenFor    = 300 * time.Millisecond
	// queueCost is the cost of a request that waits for a slot, relative to one that runs.
	queueCost = 4
)

// Choice is the server chosen for a request, with the reasons.
type Choice struct {
	Server Server
	Reason Reason

	rejected [maxConsidered]Rejection
	count    int
}

// Rejection is a candidate that was considered and not chosen.
type Rejection struct {
	Server string
	Reason Reason
}

// Rejected returns a copy of the candidates that were considered and not chosen.
func (choice Choice) Rejected() []Rejection {
	return slices.Clone(choice.rejected[:choice.count])
}

// Query is what a choice is made for.
type Query struct {
	Now time.Time
	// Tried names the servers of earlier tries.
	Tried []string
	// Domain is the failure domain of the entry.
	Domain string
	// Class is the expected length of the work; probes are long work if possible.
	Class    call.Class
	Prefixes Prefixes
}

// Random is a source of random numbers in [0, n), which several threads use at once.
type Random interface {
	IntN(n int) int
}

// selection is a choice in progress.
type selection struct {
	pool   Pool
	query  Query
	health Health
	choice Choice
	// at is the index of the best candidate so far, -1 for none, and ejected tells
	// that it is taken for lack of a better one.
	at      int
	ejected bool
	// full tells that the best candidate has no free slot, so that more are drawn:
	// near saturation all of three candidates may be full while others are not.
	full  bool
	score float64
	slow  float64
	drawn [maxConsidered]int
	count int
}

// Choose picks the server whose answer is expected first, out of the holder of
// the prompt's prefix and a few candidates at random, some of them in the entry's
// own failure domain. A probe that is due goes before all of them.
//
// It returns false when no candidate is left.
func (pool Pool) Choose(query Query, random Random) (Choice, bool) {
	if len(pool.servers) == 0 {
		return Choice{Reason: ReasonNoCandidate}, false
	}
	selection := selection{pool: pool, query: query, health: pool.health.Load(), at: -1}
	if name, ok := selection.health.DueProbe(query.Now, query.probeAfter()); ok {
		if at, member := pool.index[name]; member {
			selection.consider(at, false)
		}
	}
	if name, ok := pool.affinity.PreferredServer(query.Prefixes, query.Now); ok {
		if at, member := pool.index[name]; member && selection.choice.Reason != ReasonProbe {
			selection.consider(at, true)
		}
	}
	compared := 0
	local := pool.domains[query.Domain]
	for draw := 0; draw < maxDraws && (compared < sampleSize || selection.full) && selection.choice.Reason != ReasonProbe; draw++ {
		at := random.IntN(len(pool.servers))
		if draw < localDraws && len(local) > 0 {
			at = local[random.IntN(len(local))]
		}
		if selection.consider(selection.undrawn(at), false) {
			compared++
		}
	}
	if selection.at < 0 {
		selection.remaining()
	}
	if selection.at < 0 {
		selection.choice.Reason = ReasonNoCandidate
		return selection.choice, false
	}
	selection.choice.Server = pool.servers[selection.at]
	return selection.choice, true
}

// undrawn returns the first index from at on that was not drawn, so that a
// choice among a few servers looks at all of them.
func (selection *selection) undrawn(at int) int {
	for range selection.count {
		if !slices.Contains(selection.drawn[:selection.count], at) {
			return at
		}
		at = (at + 1) % len(selection.pool.servers)
	}
	return at
}

// consider compares a candidate with the best one so far, and reports whether it takes work.
func (selection *selection) consider(at int, cached bool) bool {
	if slices.Contains(selection.drawn[:selection.count], at) {
		return false
	}
	selection.drawn[selection.count] = at
	selection.count++
	server := &selection.pool.servers[at]
	if slices.Contains(selection.query.Tried, server.Name) {
		return selection.reject(server.Name, ReasonTried)
	}
	observation := server.Observation.Load()
	if observation.Leaving {
		return selection.reject(server.Name, ReasonLeaving)
	}
	slowness := observation.Slowdown(selection.query.Now)
	if slowness >= ejectAt && !selection.health.Ejected(server.Name) {
		selection.pool.eject(*server, slowness, selection.query.Now)
		selection.health = selection.pool.health.Load()
	}
	if selection.health.Ejected(server.Name) {
		return selection.ejectedCandidate(at, observation, slowness)
	}
	selection.compare(at, observation, observation.ExpectedSlowdown(selection.query.Now), cached)
	return true
}

// ejectedCandidate takes a server for a probe, or else for lack of one that takes work.
func (selection *selection) ejectedCandidate(at int, observation Observation, slowness float64) bool {
	name := selection.pool.servers[at].Name
	if observation.InFlight == 0 && selection.pool.probe(name, selection.query) {
		selection.displace(ReasonProbe)
		selection.at, selection.ejected, selection.choice.Reason = at, false, ReasonProbe
		return true
	}
	if selection.at >= 0 {
		return selection.reject(name, ReasonEjected)
	}
	selection.at, selection.ejected, selection.slow = at, true, slowness
	selection.choice.Reason = ReasonEjected
	return false
}

func (selection *selection) compare(at int, observation Observation, slowness float64, cached bool) {
	server := &selection.pool.servers[at]
	score := selection.expense(server, observation, slowness, cached)
	if selection.at >= 0 && !selection.ejected && score >= selection.score {
		selection.reject(server.Name, selection.why(server.Domain, slowness, selection.slow))
		return
	}
	reason := ReasonLeastLoaded
	if cached {
		reason = ReasonPrefixCached
	}
	selection.displace(selection.displaced(slowness))
	selection.at, selection.ejected = at, false
	selection.full = observation.Load(selection.query.Now) >= float64(max(1, server.Slots))
	selection.score, selection.slow = score, slowness
	selection.choice.Reason = reason
}

// expense is the time that an answer is expected to take, in multiples of an idle equal's.
func (selection *selection) expense(server *Server, observation Observation, slowness float64, cached bool) float64 {
	load, slots := observation.Load(selection.query.Now), float64(max(1, server.Slots))
	score := 1 + load/slots + queueCost*max(0, load+1-slots)/slots
	if cached && load < slots {
		score *= cachedGain
	}
	if selection.query.Class != call.ClassLong && !observation.SampledWithin(selection.query.Now, seenFor) {
		score *= unseenCost
	}
	if server.Domain != selection.query.Domain {
		score *= otherDomainCost
	}
	return score * slowness
}

func (selection *selection) why(domain string, slowness, chosen float64) Reason {
	switch {
	case slowness >= restoreAt*chosen:
		return ReasonSlower
	case domain != selection.query.Domain && selection.pool.servers[selection.at].Domain == selection.query.Domain:
		return ReasonOtherDomain
	}
	return ReasonMoreLoaded
}

// displaced returns why the best candidate so far loses to one of that slowness.
func (selection *selection) displaced(slowness float64) Reason {
	if selection.ejected {
		return ReasonEjected
	}
	if selection.slow >= restoreAt*slowness {
		return ReasonSlower
	}
	return ReasonMoreLoaded
}

// displace rejects the best candidate so far, if any.
func (selection *selection) displace(reason Reason) {
	if selection.at >= 0 {
		selection.reject(selection.pool.servers[selection.at].Name, reason)
	}
}

func (selection *selection) reject(name string, reason Reason) bool {
	if selection.choice.count < maxConsidered {
		selection.choice.rejected[selection.choice.count] = Rejection{Server: name, Reason: reason}
		selection.choice.count++
	}
	return false
}

// remaining takes the first server that was not tried, when all draws hit tried or
// leaving ones. It looks at the whole pool only if that pool is about as small as the tries.
func (selection *selection) remaining() {
	limit := 4 * (maxDraws + len(selection.query.Tried))
	for at := range min(len(selection.pool.servers), limit) {
		server := &selection.pool.servers[at]
		if slices.Contains(selection.query.Tried, server.Name) || server.Observation.Load().Leaving {
			continue
		}
		selection.at, selection.choice.Reason = at, ReasonLeastLoaded
		return
	}
}

// probe reports whether an ejected server is to get this request to test it.
func (pool Pool) probe(server string, query Query) bool {
	after := query.probeAfter()
	if _, due := pool.health.Load().WithProbe(server, query.Now, after); !due {
		return false
	}
	return pool.claim(server, query.Now, after)
}

func (query Query) probeAfter() time.Duration {
	if query.Class == call.ClassLong {
		return probeLongAfter
	}
	return probeShortAfter
}
