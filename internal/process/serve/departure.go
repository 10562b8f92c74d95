package serve

import (
	"context"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/membership"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/handover"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/vmlist"
	"github.com/rosemaryspar/rosemaryspar/internal/process/settings"
)

// departure is how this entry goes: by a signal, or by a reclaim that the VM list announces.
type departure struct {
	settings settings.Settings
	self     membership.Origin
	handover *handover.Handover
	// end is when the VM is reclaimed, zero while no notice was seen.
	end *rcu.Cell[time.Time]
	// noticed is closed at the notice of a reclaim.
	noticed chan struct{}
}

func newDeparture(settings settings.Settings, gossipNode *gossipNode) *departure {
	self := gossipNode.state.Load().Self()
	member := membership.Member{Origin: self, Profile: membership.Profile{Domain: settings.Domain}}
	return &departure{
		settings: settings,
		self:     self,
		handover: handover.New(member, gossipNode, gossipNode.client),
		end:      rcu.New(time.Time{}),
		noticed:  make(chan struct{}),
	}
}

// View returns the membership.
func (gossipNode *gossipNode) View() membership.View { return gossipNode.state.Load().View() }

// takeList looks for a notice that concerns this run of the entry.
func (departure *departure) takeList(list vmlist.List) {
	for _, listing := range list.Entries {
		if listing.Name == departure.self.Name && listing.LeavingSince > departure.self.Incarnation.Start {
			departure.notice(time.Unix(0, listing.LeavingSince).Add(departure.settings.ReclaimNotice))
		}
	}
}

// notice notes when the VM ends; a later notice of the same reclaim changes nothing.
func (departure *departure) notice(end time.Time) {
	_, first := rcu.Apply(departure.end, func(known time.Time) (time.Time, bool) {
		if known.IsZero() {
			return end, true
		}
		return known, false
	})
	if first {
		close(departure.noticed)
	}
}

// times returns how long the entry stays open after it turned unready, and how
// long it may finish requests after that.
//
// A reclaim cuts both short. At most a third of its notice is for the balancer,
// since requests that arrive then have the least time.
func (departure *departure) times(now time.Time) (delay, timeout time.Duration) {
	delay, timeout = departure.settings.StopDelay, departure.settings.StopTimeout
	end := departure.end.Load()
	if end.IsZero() {
		return delay, timeout
	}
	left := max(0, end.Sub(now))
	delay = min(delay, left/3)
	return delay, min(timeout, left-delay)
}

// begin starts the handover, whose last part comes shortly before whole has
// passed, and returns the function that waits for what has begun of it.
func (departure *departure) begin(ctx context.Context, whole time.Duration) func() {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		departure.handover.Leave(ctx, max(0, whole-departure.settings.HandoverTime))
	}()
	return func() {
		cancel()
		<-done
	}
}
