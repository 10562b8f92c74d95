package serve

import (
	"context"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/membership"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/suspect"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/peer"
)

// newsInterval is how often news is taken from the exchange with peers and given
// to it; it adds little to the second that an exchange takes.
const newsInterval = 200 * time.Millisecond

// sightingInterval is how often slow servers are told to peers; the exchange takes a second.
const sightingInterval = time.Second

// news carries leaving servers, suspected requests and slow servers between the
// exchange and the request path.
type news struct {
	membership *gossipNode
	snapshots  *Snapshots
	suspects   *rcu.Cell[suspect.Tracker]
}

// Run takes and gives news until the context ends.
func (news news) Run(ctx context.Context) error {
	ticker := time.NewTicker(newsInterval)
	defer ticker.Stop()
	var told time.Time
	for {
		select {
		case now := <-ticker.C:
			if err := news.takeLeaving(now); err != nil {
				return err
			}
			news.exchangeSuspects(now)
			news.takeSightings(now)
			if now.Sub(told) >= sightingInterval {
				told = now
				news.tellSightings(now)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// takeLeaving passes leaving servers that peers told of to the snapshots.
func (news news) takeLeaving(now time.Time) error {
	known, told := news.snapshots.Leaving(), backend.Departures{}
	for name, incarnation := range news.membership.state.Load().Table().LeavingServers(now) {
		if departure := known[name]; departure.Leaving && departure.Incarnation >= uint64(incarnation) {
			continue
		}
		told = told.WithNotice(name, uint64(incarnation), backend.SourcePeer, now)
	}
	if len(told) == 0 {
		return nil
	}
	return news.snapshots.PublishLeaving(told)
}

// exchangeSuspects joins what peers told of requests that crash servers, and tells them what they lack.
func (news news) exchangeSuspects(now time.Time) {
	items := news.membership.state.Load().Table().Items(membership.KindSuspectRequest, now)
	told := make(map[suspect.Report]bool, len(items))
	var reports []suspect.Report
	for _, item := range items {
		report, ok := peer.DecodeCrashReport(item)
		if ok {
			told[report] = true
			reports = append(reports, report)
		}
	}
	register := news.suspects.Load()
	if missing(register, reports) {
		register = news.suspects.Update(func(register suspect.Tracker) suspect.Tracker { return register.WithReports(reports) })
	}
	var untold []membership.Item
	for _, report := range register.Reports() {
		// Times are compared as peers see them, without the monotonic clock.
		report.At = time.Unix(0, report.At.UnixNano())
		if !told[report] && report.Expires().After(now) {
			untold = append(untold, peer.EncodeCrashReport(report))
		}
	}
	if len(untold) > 0 {
		news.membership.gossip.Update(func(state membership.State) membership.State { return state.WithPublished(untold...) })
	}
}

// takeSightings passes on what peers saw of slow servers.
func (news news) takeSightings(now time.Time) {
	state := news.membership.state.Load()
	heard := backend.SlowdownReports{}
	for _, name := range state.View().Live() {
		if name == state.Self().Name {
			continue
		}
		member, _ := state.View().Member(name)
		for _, item := range state.Table().ItemsOf(member.ID(), now) {
			if item.Kind != membership.KindLoad {
				continue
			}
			if sighting, ok := peer.DecodeSlowdownReport(item, now); ok {
				heard = heard.WithReport(item.Key, sighting)
			}
		}
	}
	if heard.Len() > 0 {
		news.snapshots.View().Fleet.ApplySlowdownReports(heard, now)
	}
}

// tellSightings tells peers which servers this entry's own work showed to be slow.
func (news news) tellSightings(now time.Time) {
	var items []membership.Item
	for server, sighting := range news.snapshots.View().Fleet.SlowdownReports(now).All() {
		items = append(items, peer.EncodeSlowdownReport(server, sighting, now))
	}
	if len(items) > 0 {
		news.membership.state.Update(func(state membership.State) membership.State { return state.WithPublished(items...) })
	}
}

// missing reports whether the register lacks one of the reports.
func missing(register suspect.Tracker, reports []suspect.Report) bool {
	known := map[suspect.Report]bool{}
	for _, report := range register.Reports() {
		report.At = time.Unix(0, report.At.UnixNano())
		known[report] = true
	}
	for _, report := range reports {
		if !known[report] {
			return true
		}
	}
	return false
}
