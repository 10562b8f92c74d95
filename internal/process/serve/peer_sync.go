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

// peerSyncInterval is the time between two rounds of copying reports from and to the gossip state. It is short
// compared with the second between two exchanges with peers, so that copying adds little delay.
const peerSyncInterval = 200 * time.Millisecond

// slowdownReportInterval is the time between two publications of slowdown reports. More frequent ones would be
// of no use, since entries exchange state once a second.
const slowdownReportInterval = time.Second

// peerSync copies reports between the gossip state and the request path: reports about leaving servers, about
// requests suspected of crashing servers, and about slow servers.
type peerSync struct {
	gossipNode *gossipNode
	snapshots  *Snapshots
	suspects   *rcu.Cell[suspect.Tracker]
}

// Run copies reports until ctx ends.
func (peerSync peerSync) Run(ctx context.Context) error {
	ticker := time.NewTicker(peerSyncInterval)
	defer ticker.Stop()
	var lastPublished time.Time
	for {
		select {
		case now := <-ticker.C:
			if err := peerSync.applyDepartures(now); err != nil {
				return err
			}
			peerSync.syncCrashReports(now)
			peerSync.applySlowdownReports(now)
			if now.Sub(lastPublished) >= slowdownReportInterval {
				lastPublished = now
				peerSync.publishSlowdownReports(now)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// applyDepartures publishes to the snapshots the leaving servers that peers reported.
func (peerSync peerSync) applyDepartures(now time.Time) error {
	recorded, reported := peerSync.snapshots.Departures(), backend.Departures{}
	for name, incarnation := range peerSync.gossipNode.state.Load().Table().LeavingServers(now) {
		if departure := recorded[name]; departure.Leaving && departure.Incarnation >= uint64(incarnation) {
			continue
		}
		reported = reported.WithNotice(name, uint64(incarnation), backend.SourcePeer, now)
	}
	if len(reported) == 0 {
		return nil
	}
	return peerSync.snapshots.PublishDepartures(reported)
}

// syncCrashReports merges the crash reports in the gossip state into the tracker, and publishes the tracker's
// reports that the gossip state lacks.
func (peerSync peerSync) syncCrashReports(now time.Time) {
	items := peerSync.gossipNode.state.Load().Table().Items(membership.KindSuspectRequest, now)
	published := make(map[suspect.Report]bool, len(items))
	var reports []suspect.Report
	for _, item := range items {
		report, ok := peer.DecodeCrashReport(item)
		if ok {
			published[report] = true
			reports = append(reports, report)
		}
	}
	tracker := peerSync.suspects.Load()
	if lacksAny(tracker, reports) {
		tracker = peerSync.suspects.Update(func(tracker suspect.Tracker) suspect.Tracker { return tracker.WithReports(reports) })
	}
	var unpublished []membership.Item
	for _, report := range tracker.Reports() {
		// A decoded report has no monotonic clock reading. It is removed here, since reports are compared with ==.
		report.At = time.Unix(0, report.At.UnixNano())
		if !published[report] && report.Expires().After(now) {
			unpublished = append(unpublished, peer.EncodeCrashReport(report))
		}
	}
	if len(unpublished) > 0 {
		peerSync.gossipNode.gossip.Update(func(state membership.State) membership.State { return state.WithPublished(unpublished...) })
	}
}

// applySlowdownReports records the slowdown reports of live peers in the observations of the servers.
func (peerSync peerSync) applySlowdownReports(now time.Time) {
	state := peerSync.gossipNode.state.Load()
	received := backend.SlowdownReports{}
	for _, name := range state.View().Live() {
		if name == state.Self().Name {
			continue
		}
		member, _ := state.View().Member(name)
		for _, item := range state.Table().ItemsOf(member.ID(), now) {
			if item.Kind != membership.KindLoad {
				continue
			}
			if report, ok := peer.DecodeSlowdownReport(item, now); ok {
				received = received.WithReport(item.Key, report)
			}
		}
	}
	if received.Len() > 0 {
		peerSync.snapshots.View().Fleet.ApplySlowdownReports(received, now)
	}
}

// publishSlowdownReports publishes reports about servers that this entry's own requests found slow, or fast again.
func (peerSync peerSync) publishSlowdownReports(now time.Time) {
	var items []membership.Item
	for server, report := range peerSync.snapshots.View().Fleet.SlowdownReports(now).All() {
		items = append(items, peer.EncodeSlowdownReport(server, report, now))
	}
	if len(items) > 0 {
		peerSync.gossipNode.state.Update(func(state membership.State) membership.State { return state.WithPublished(items...) })
	}
}

// lacksAny reports whether at least one of the reports is not in the tracker.
func lacksAny(tracker suspect.Tracker, reports []suspect.Report) bool {
	tracked := map[suspect.Report]bool{}
	for _, report := range tracker.Reports() {
		report.At = time.Unix(0, report.At.UnixNano())
		tracked[report] = true
	}
	for _, report := range reports {
		if !tracked[report] {
			return true
		}
	}
	return false
}
