package backend

import (
	"slices"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// Reason is why a server was chosen or rejected.
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
	ReasonOtherDomain  Reason = "OtherDomain"
	ReasonNoCandidate  Reason = "NoCandidate"
)

const (
	// sampleSize is the number of candidates that a choice compares. Comparing more
	// than a few gains little over comparing two and costs time on the request path.
	sampleSize = 3
	// maxDraws bounds the number of random draws. With the largest allowed share of
	// ejected servers, all eight draws hit ejected ones in 1 of 6,500 choices.
	maxDraws = 8
	// maxConsidered is the number of draws, plus the preferred server and the server due for a probe.
	maxConsidered = maxDraws + 2
	// localDraws is the number of draws, the first ones, that are made in the entry's failure domain.
	localDraws = 2
	// otherDomainFactor multiplies the cost of servers in other failure domains. It
	// outweighs only moderate differences in load. Keeping work in the entry's failure
	// domain also gives the entry more samples of each server there.
	otherDomainFactor = 1.15
	// cachedFactor multiplies the cost of the server that has the prompt's prefix cached; it
	// accounts for the part of an answer's time that the cache saves.
	cachedFactor = 0.6
	// unsampledFactor multiplies the cost of servers without a sample within recentSampleAge,
	// for short work: on a server that slowed down unnoticed, a short answer takes many times
	// as long. Long work pays no such factor, since it gives a sample of the server's speed with
	// each token.
	unsampledFactor = 1.5
	recentSampleAge = 300 * time.Millisecond
	// queueCost is the cost of a request that waits for a slot, relative to one that runs.
	queueCost = 4
)

// Choice is the server chosen for a request, with the reason for it and the reasons against the other
// candidates.
type Choice struct {
	Server Server
	Reason Reason

	rejected      [maxConsidered]Rejection
	rejectedCount int
}

// Rejection is a candidate that was considered and not chosen, with the reason.
type Rejection struct {
	Server string
	Reason Reason
}

// Rejected returns a copy of the candidates that were considered and not chosen.
func (choice Choice) Rejected() []Rejection {
	return slices.Clone(choice.rejected[:choice.rejectedCount])
}

// Query holds the properties of a request on which a choice depends.
type Query struct {
	Now time.Time
	// Tried holds the names of the servers of earlier attempts; they are not chosen.
	Tried []string
	// Domain is the failure domain of the entry.
	Domain string
	// Class is the expected length class of the work; long work is preferred for probes.
	Class call.Class
	// Prefixes are those of the prompt, empty for a request without one.
	Prefixes Prefixes
}

// Random is a source of random numbers in [0, n) that is safe for concurrent use.
type Random interface {
	IntN(n int) int
}

// selection is a choice in progress.
type selection struct {
	pool   Pool
	query  Query
	health Health
	choice Choice
	// best is the index of the best candidate so far, -1 for none, and bestEjected reports
	// whether it is an ejected server, taken because no other was found.
	best        int
	bestEjected bool
	// bestFull reports whether the best candidate has no free slot. More candidates are then
	// drawn: near saturation all sampleSize candidates may be full while other servers are not.
	bestFull     bool
	bestCost     float64
	bestSlowdown float64
	// considered are the indexes of all candidates so far.
	considered      [maxConsidered]int
	consideredCount int
}

// Choose returns the server whose answer is expected first, among the server that has
// the prompt's prefix cached and a few random candidates, some of them in the entry's
// own failure domain. An ejected server that is due for a probe takes precedence.
//
// It returns false if all servers that it considered were tried or are leaving.
func (pool Pool) Choose(query Query, random Random) (Choice, bool) {
	if len(pool.servers) == 0 {
		return Choice{Reason: ReasonNoCandidate}, false
	}
	selection := selection{pool: pool, query: query, health: pool.health.Load(), best: -1}
	if name, ok := selection.health.DueProbe(query.Now, query.probeInterval()); ok {
		if index, found := pool.index[name]; found {
			selection.consider(index, false)
		}
	}
	if name, ok := pool.affinity.PreferredServer(query.Prefixes, query.Now); ok {
		if index, found := pool.index[name]; found && selection.choice.Reason != ReasonProbe {
			selection.consider(index, true)
		}
	}
	compared := 0
	local := pool.domains[query.Domain]
	for draw := 0; draw < maxDraws && (compared < sampleSize || selection.bestFull) && selection.choice.Reason != ReasonProbe; draw++ {
		index := random.IntN(len(pool.servers))
		if draw < localDraws && len(local) > 0 {
			index = local[random.IntN(len(local))]
		}
		if selection.consider(selection.nextUnconsidered(index), false) {
			compared++
		}
	}
	if selection.best < 0 {
		selection.takeRemaining()
	}
	if selection.best < 0 {
		selection.choice.Reason = ReasonNoCandidate
		return selection.choice, false
	}
	selection.choice.Server = pool.servers[selection.best]
	return selection.choice, true
}

// nextUnconsidered returns the first index at or after index, cyclically, that was not
// considered, so that a choice among a few servers considers all of them.
func (selection *selection) nextUnconsidered(index int) int {
	for range selection.consideredCount {
		if !slices.Contains(selection.considered[:selection.consideredCount], index) {
			return index
		}
		index = (index + 1) % len(selection.pool.servers)
	}
	return index
}

// consider compares a candidate with the best one so far, and reports whether the candidate may get work.
func (selection *selection) consider(index int, cached bool) bool {
	if slices.Contains(selection.considered[:selection.consideredCount], index) {
		return false
	}
	selection.considered[selection.consideredCount] = index
	selection.consideredCount++
	server := &selection.pool.servers[index]
	if slices.Contains(selection.query.Tried, server.Name) {
		return selection.reject(server.Name, ReasonTried)
	}
	observation := server.Observation.Load()
	if observation.Leaving {
		return selection.reject(server.Name, ReasonLeaving)
	}
	slowdown := observation.Slowdown(selection.query.Now)
	if slowdown >= ejectSlowdown && !selection.health.IsEjected(server.Name) {
		selection.pool.eject(*server, slowdown, selection.query.Now)
		selection.health = selection.pool.health.Load()
	}
	if selection.health.IsEjected(server.Name) {
		return selection.considerEjected(index, observation, slowdown)
	}
	selection.compare(index, observation, observation.ExpectedSlowdown(selection.query.Now), cached)
	return true
}

// considerEjected takes an ejected server as the best candidate if a probe of the server is
// due or there is no other candidate so far. It reports whether it started a probe.
func (selection *selection) considerEjected(index int, observation Observation, slowdown float64) bool {
	name := selection.pool.servers[index].Name
	if observation.InFlight == 0 && selection.pool.startProbe(name, selection.query) {
		selection.rejectBest(ReasonProbe)
		selection.best, selection.bestEjected, selection.choice.Reason = index, false, ReasonProbe
		return true
	}
	if selection.best >= 0 {
		return selection.reject(name, ReasonEjected)
	}
	selection.best, selection.bestEjected, selection.bestSlowdown = index, true, slowdown
	selection.choice.Reason = ReasonEjected
	return false
}

// compare makes a candidate the best one if its cost is lower than that of the best one so far, and rejects
// the other of the two.
func (selection *selection) compare(index int, observation Observation, slowdown float64, cached bool) {
	server := &selection.pool.servers[index]
	cost := selection.cost(server, observation, slowdown, cached)
	if selection.best >= 0 && !selection.bestEjected && cost >= selection.bestCost {
		selection.reject(server.Name, selection.rejectionReason(server.Domain, slowdown, selection.bestSlowdown))
		return
	}
	reason := ReasonLeastLoaded
	if cached {
		reason = ReasonPrefixCached
	}
	selection.rejectBest(selection.displacementReason(slowdown))
	selection.best, selection.bestEjected = index, false
	selection.bestFull = observation.Load(selection.query.Now) >= float64(max(1, server.Slots))
	selection.bestCost, selection.bestSlowdown = cost, slowdown
	selection.choice.Reason = reason
}

// cost returns the expected time of an answer, as a multiple of the time on an idle server of usual speed.
func (selection *selection) cost(server *Server, observation Observation, slowdown float64, cached bool) float64 {
	load, slots := observation.Load(selection.query.Now), float64(max(1, server.Slots))
	cost := 1 + load/slots + queueCost*max(0, load+1-slots)/slots
	if cached && load < slots {
		cost *= cachedFactor
	}
	if selection.query.Class != call.ClassLong && !observation.SampledWithin(selection.query.Now, recentSampleAge) {
		cost *= unsampledFactor
	}
	if server.Domain != selection.query.Domain {
		cost *= otherDomainFactor
	}
	return cost * slowdown
}

// rejectionReason returns why a candidate loses to the best one so far.
func (selection *selection) rejectionReason(domain string, slowdown, bestSlowdown float64) Reason {
	switch {
	case slowdown >= restoreSlowdown*bestSlowdown:
		return ReasonSlower
	case domain != selection.query.Domain && selection.pool.servers[selection.best].Domain == selection.query.Domain:
		return ReasonOtherDomain
	}
	return ReasonMoreLoaded
}

// displacementReason returns why the best candidate so far loses to a candidate with that slowdown.
func (selection *selection) displacementReason(slowdown float64) Reason {
	if selection.bestEjected {
		return ReasonEjected
	}
	if selection.bestSlowdown >= restoreSlowdown*slowdown {
		return ReasonSlower
	}
	return ReasonMoreLoaded
}

// rejectBest rejects the best candidate so far, if any.
func (selection *selection) rejectBest(reason Reason) {
	if selection.best >= 0 {
		selection.reject(selection.pool.servers[selection.best].Name, reason)
	}
}

// reject records a rejected candidate; it returns false, the result of consider for it.
func (selection *selection) reject(name string, reason Reason) bool {
	if selection.choice.rejectedCount < maxConsidered {
		selection.choice.rejected[selection.choice.rejectedCount] = Rejection{Server: name, Reason: reason}
		selection.choice.rejectedCount++
	}
	return false
}

// takeRemaining takes the first server that was not tried, for the case that all draws
// hit tried or leaving servers. It examines at most four servers for each draw and try,
// so that it scans only small pools completely.
func (selection *selection) takeRemaining() {
	limit := 4 * (maxDraws + len(selection.query.Tried))
	for index := range min(len(selection.pool.servers), limit) {
		server := &selection.pool.servers[index]
		if slices.Contains(selection.query.Tried, server.Name) || server.Observation.Load().Leaving {
			continue
		}
		selection.best, selection.choice.Reason = index, ReasonLeastLoaded
		return
	}
}

// startProbe reports whether an ejected server gets this request as its probe, and records the start of that
// probe.
func (pool Pool) startProbe(server string, query Query) bool {
	interval := query.probeInterval()
	if _, due := pool.health.Load().WithProbe(server, query.Now, interval); !due {
		return false
	}
	return pool.claimProbe(server, query.Now, interval)
}

// probeInterval returns the time without work after which an ejected server may get the request as a probe.
func (query Query) probeInterval() time.Duration {
	if query.Class == call.ClassLong {
		return longProbeInterval
	}
	return shortProbeInterval
}
