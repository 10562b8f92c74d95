package share

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/pause"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/neighbour"
)

const (
	// exchangeInterval is the time between exchanges. Limits over all entries are as
	// exact as the counts of the others are fresh.
	exchangeInterval = 250 * time.Millisecond
	// exchangeTimeout is short, since a peer that does not answer is passed over.
	exchangeTimeout = 600 * time.Millisecond
	// fewEntries is up to how many entries each exchange reaches two peers besides the reader.
	fewEntries = 16
	// newsDelay gathers changes that come together before they are passed on.
	newsDelay = 10 * time.Millisecond
)

// Reporter changes the entry's own record before it is stated.
type Reporter interface {
	Report(record neighbour.Record) neighbour.Record
}

// Seeds gives addresses at which entries may be found.
type Seeds interface {
	Seeds() []string
}

// Exchange tells peers what the entry knows, and learns what they know.
type Exchange struct {
	knowledge *Knowledge
	exchanger Exchanger
	reporter  Reporter
	seeds     Seeds
	// learned is called after each round.
	learned func()
}

// NewExchange returns an exchange that finds its first peers at seeds.
func NewExchange(knowledge *Knowledge, exchanger Exchanger, reporter Reporter, seeds Seeds, learned func()) *Exchange {
	return &Exchange{knowledge: knowledge, exchanger: exchanger, reporter: reporter, seeds: seeds, learned: learned}
}

// Run exchanges until the context ends.
func (exchange *Exchange) Run(ctx context.Context) error {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	news := false
	for {
		exchange.round(ctx, news)
		news = false
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-exchange.knowledge.changed:
			// News are pushed on at once, so that they reach all entries in a few steps.
			news = true
			if pause.For(ctx, newsDelay) != nil {
				return nil
			}
		}
	}
}

// Answer joins a peer's statement and returns what the peer lacks.
func (exchange *Exchange) Answer(statement Statement) Reply {
	knowledge := exchange.knowledge
	// The delay of the message is unknown, so that its ages say nothing here.
	exchange.take(statement.Routes, 0, knowledge.TakeRoutes)
	exchange.take(statement.Servers, 0, knowledge.TakeServers)
	knowledge.TakeNeighbours([]neighbour.Record{statement.Sender})
	knowledge.TakeClock(statement.Sender)
	return Reply{
		Neighbours: knowledge.Neighbours().Since(statement.Versions),
		Routes:     holding(knowledge, knowledge.routes, statement.Routes),
		Servers:    holding(knowledge, knowledge.listing, statement.Servers),
	}
}

// take joins the content of a peer's holding, which the peer has decoded already.
func (exchange *Exchange) take(holding Holding, newestAt time.Duration, take takeFunc) {
	if holding.Revision > 0 && holding.Content != nil {
		_ = take(holding.Revision, newestAt, holding.Content)
	}
}

// round makes the exchanges of one round at the same time; news are pushed whole.
func (exchange *Exchange) round(ctx context.Context, news bool) {
	exchange.knowledge.State(func(record neighbour.Record) neighbour.Record {
		record = exchange.reporter.Report(record)
		record.Clock = time.Now().Round(0)
		return record
	})
	var group sync.WaitGroup
	for _, address := range exchange.peers() {
		group.Go(func() { exchange.with(ctx, address, news) })
	}
	group.Wait()
	exchange.learned()
}

// with exchanges with one peer. A peer that fails shows in its record, which grows old.
func (exchange *Exchange) with(ctx context.Context, address string, news bool) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	knowledge := exchange.knowledge
	asked := knowledge.clock.Now()
	neighbours := knowledge.Neighbours()
	statement := Statement{
		Sender:   neighbours.Self(),
		Versions: neighbours.Versions(),
		Routes:   holding(knowledge, knowledge.routes, Holding{}),
		Servers:  holding(knowledge, knowledge.listing, Holding{}),
	}
	if !news {
		statement.Routes.Content, statement.Servers.Content = nil, nil
	}
	reply, err := exchange.exchanger.Exchange(ctx, address, statement)
	if err != nil {
		return
	}
	knowledge.TakeNeighbours(reply.Neighbours)
	// Ages count from before the question, since the answer was given after it.
	if reply.Routes.Revision > 0 && (reply.Routes.Content != nil || reply.Routes.Digest == statement.Routes.Digest) {
		_ = knowledge.TakeRoutes(reply.Routes.Revision, asked-reply.Routes.Age, reply.Routes.Content) // The peer decoded it already.
	}
	if reply.Servers.Revision > 0 && (reply.Servers.Content != nil || reply.Servers.Digest == statement.Servers.Digest) {
		_ = knowledge.TakeServers(reply.Servers.Revision, asked-reply.Servers.Age, reply.Servers.Content) // As above.
	}
}

// peers draws the addresses of a round.
func (exchange *Exchange) peers() []string {
	state, now := exchange.knowledge.Neighbours(), exchange.knowledge.clock.Now()
	self := state.Self()
	var others []neighbour.Record
	for _, record := range state.Alive(now) {
		if record.Name != self.Name {
			others = append(others, record)
		}
	}
	if len(others) == 0 {
		return drawn(exchange.unknownSeeds(self, nil), 1)
	}
	addresses := make([]string, len(others))
	for i, record := range others {
		addresses[i] = record.Address
	}
	chosen := drawn(addresses, 2)
	if first, ok := first(others); ok && len(others) < fewEntries && first != chosen[0] {
		chosen[len(chosen)-1] = first
	}
	if rand.IntN(8) == 0 {
		chosen = append(chosen, drawn(exchange.unknownSeeds(self, addresses), 1)...)
	}
	return chosen
}

// first returns the address of the entry that reads the store if all is well.
func first(others []neighbour.Record) (string, bool) {
	best, found := neighbour.Record{}, false
	for _, record := range others {
		if !found || neighbour.Before(WorkRead, record, best) {
			best, found = record, true
		}
	}
	return best.Address, found
}

func (exchange *Exchange) unknownSeeds(self neighbour.Record, known []string) []string {
	var seeds []string
	for _, seed := range exchange.seeds.Seeds() {
		if seed != self.Address && !slices.Contains(known, seed) {
			seeds = append(seeds, seed)
		}
	}
	return seeds
}

// drawn returns up to count different values at random.
func drawn(values []string, count int) []string {
	order := rand.Perm(len(values))
	chosen := make([]string, 0, count)
	for _, at := range order[:min(count, len(order))] {
		chosen = append(chosen, values[at])
	}
	return chosen
}
