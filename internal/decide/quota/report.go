package quota

import (
	"maps"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/decay"
)

const (
	// extrapolationLimit bounds the time for which the rate of a peer without reports is extrapolated.
	extrapolationLimit = 6 * time.Second
	// endedFading is the time constant with which the rates of ended peers fade.
	endedFading = 2500 * time.Millisecond
	// inheritanceTime is the time after which all entries have sent their heartbeats to a new aggregator.
	inheritanceTime = 2 * time.Second
)

// Report is what a peer, or a group of peers, has counted since its start.
type Report struct {
	// Admitted and Asked are the total sizes of the requests that it admitted and received.
	Admitted float64
	Asked    float64
	// At is the time of the counts.
	At time.Duration
}

// peerReport is the latest report of a peer, and its averaged rates since its first report.
type peerReport struct {
	Report
	firstAt      time.Duration
	admittedRate float64
	askedRate    float64
	// latestAskedRate is averaged over a shorter time than askedRate.
	latestAskedRate float64
	// inheritedAdmitted and inheritedAsked are the rates that the peer inherited. Its own are at least those until
	// inheritedUntil, since a new aggregator has heard of a part of its entries at first.
	inheritedAdmitted, inheritedAsked float64
	inheritedUntil                    time.Duration
}

// with returns the peer's report after a later one, with the rates averaged over rateWindow, and what the peer admitted between both.
func (previous peerReport) with(report Report, rateWindow time.Duration) (next peerReport, admitted float64) {
	next, admitted = previous, report.Admitted-previous.Admitted
	next.Report = report
	elapsed := max(report.At-previous.At, time.Millisecond).Seconds()
	admittedRate, askedRate := admitted/elapsed, (report.Asked-previous.Asked)/elapsed
	// Until the reports cover half of the window, the first ones have more weight, so that the rate is not too low.
	weight := min(1, elapsed/min(rateWindow, max(report.At-previous.firstAt, rateWindow/2)).Seconds())
	next.admittedRate += weight * (admittedRate - previous.admittedRate)
	next.askedRate += weight * (askedRate - previous.askedRate)
	next.latestAskedRate += min(1, elapsed/latestRateWindow.Seconds()) * (askedRate - previous.latestAskedRate)
	if report.At < previous.inheritedUntil {
		admitted = max(admitted, previous.inheritedAdmitted*elapsed)
		next.admittedRate = max(next.admittedRate, previous.inheritedAdmitted)
		next.askedRate = max(next.askedRate, previous.inheritedAsked)
		next.latestAskedRate = max(next.latestAskedRate, previous.inheritedAsked)
	}
	return next, admitted
}

// WithReport returns the bucket after a report of a peer. The peer is identified by its incarnation, since each
// incarnation counts from 0. Unchanged totals still lower the averaged rates of the peer, and a report that is not later
// than the previous one changes nothing.
func (bucket Bucket) WithReport(peer string, report Report) Bucket {
	previous, found := bucket.peers[peer]
	if found && report.At <= previous.At {
		return bucket
	}
	bucket = bucket.Refilled(report.At)
	next := peerReport{Report: report, firstAt: report.At}
	if !found {
		bucket, next = bucket.withInheritance(next)
	} else {
		var admitted float64
		next, admitted = previous.with(report, bucket.rateWindow())
		bucket.history = bucket.history.withSize(admitted, previous.At, report.At)
		bucket = bucket.withAdmittedByPeers(admitted)
	}
	peers := maps.Clone(bucket.peers)
	if peers == nil {
		peers = map[string]peerReport{}
	}
	peers[peer] = next
	bucket.peers = peers
	return bucket
}

// withInheritance returns the bucket and a new peer with the rates of the peers that have ended.
//
// The new peer counts from its first report on, so what was admitted between the last reports of the ended ones and that
// is estimated.
func (bucket Bucket) withInheritance(peer peerReport) (Bucket, peerReport) {
	ended := bucket.ended
	bucket.ended = peerReport{}
	if ended.askedRate == 0 && ended.admittedRate == 0 {
		return bucket, peer
	}
	left := bucket.fading(peer.At, ended.At)
	peer.admittedRate, peer.askedRate = ended.admittedRate*left, ended.askedRate*left
	peer.latestAskedRate = peer.askedRate
	peer.firstAt -= bucket.rateWindow() // Its rates are known already.
	if bucket.window.Length > 0 {
		peer.inheritedAdmitted, peer.inheritedAsked = peer.admittedRate, peer.askedRate
		peer.inheritedUntil = peer.At + inheritanceTime
		bucket.history = bucket.history.withSize(peer.admittedRate*max(0, min(peer.At-ended.At, extrapolationLimit)).Seconds(), min(ended.At, peer.At), peer.At)
	}
	gap := max(0, min(peer.At-ended.At, bucket.delay)).Seconds()
	return bucket.withAdmittedByPeers(peer.admittedRate * gap), peer
}

// withAdmittedByPeers returns the bucket after peers admitted requests. An unsynced bucket leaves these out.
func (bucket Bucket) withAdmittedByPeers(size float64) Bucket {
	if !bucket.unsynced {
		bucket.level = bucket.clamped(bucket.level - size)
	}
	return bucket
}

// WithLivePeers returns the bucket without the peers that are not in live, which have ended.
//
// What they admitted stays subtracted, but what they admit is no longer extrapolated.
func (bucket Bucket) WithLivePeers(live map[string]bool, now time.Duration) Bucket {
	var peers map[string]peerReport
	for peer, report := range bucket.peers {
		if live[peer] {
			continue
		}
		if peers == nil {
			peers = maps.Clone(bucket.peers)
		}
		delete(peers, peer)
		left := bucket.fading(report.At, bucket.ended.At)
		bucket.ended.admittedRate = bucket.ended.admittedRate*left + max(0, report.admittedRate)
		bucket.ended.askedRate = bucket.ended.askedRate*left + max(0, report.askedRate)
		bucket.ended.At = report.At
	}
	if peers == nil {
		return bucket
	}
	bucket = bucket.Refilled(now)
	bucket.peers = peers
	return bucket
}

// fading returns the part of the rates of ended peers that is left at a time; since is the time of their last reports.
// They fade once a report is overdue.
func (bucket Bucket) fading(now, since time.Duration) float64 {
	return decay.ByConstant(now-since-bucket.delay, endedFading)
}
