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

// shutdown schedules the stop of this entry, which begins with a signal or a reclaim notice in the VM list.
type shutdown struct {
	settings settings.Settings
	self     membership.Origin
	handover *handover.Handover
	// reclaimAt is the time at which the VM is reclaimed, zero before a notice has been received.
	reclaimAt *rcu.Cell[time.Time]
	// reclaimNoticed is closed when a reclaim notice has been received.
	reclaimNoticed chan struct{}
}

func newShutdown(settings settings.Settings, gossipNode *gossipNode) *shutdown {
	self := gossipNode.state.Load().Self()
	member := membership.Member{Origin: self, Profile: membership.Profile{Domain: settings.Domain}}
	return &shutdown{
		settings:       settings,
		self:           self,
		handover:       handover.New(member, gossipNode, gossipNode.client),
		reclaimAt:      rcu.New(time.Time{}),
		reclaimNoticed: make(chan struct{}),
	}
}

// View returns the current membership.
func (gossipNode *gossipNode) View() membership.View { return gossipNode.state.Load().View() }

// applyVMList records a reclaim notice in the list, if it concerns this incarnation of the entry.
func (shutdown *shutdown) applyVMList(list vmlist.List) {
	for _, listing := range list.Entries {
		if listing.Name == shutdown.self.Name && listing.LeavingSince > shutdown.self.Incarnation.Start {
			shutdown.recordReclaim(time.Unix(0, listing.LeavingSince).Add(shutdown.settings.ReclaimNotice))
		}
	}
}

// recordReclaim records the time of the reclaim. Only the first notice has an effect, since later VM lists contain
// the same notice.
func (shutdown *shutdown) recordReclaim(at time.Time) {
	_, isFirst := rcu.Apply(shutdown.reclaimAt, func(recorded time.Time) (time.Time, bool) {
		if recorded.IsZero() {
			return at, true
		}
		return recorded, false
	})
	if isFirst {
		close(shutdown.reclaimNoticed)
	}
}

// stopTimes returns the delay between turning unready and refusing new requests, and
// the timeout for finishing the accepted requests after that.
//
// If the VM is being reclaimed, both are shortened to end before the reclaim. The
// delay, during which the balancer still sends requests, is then at most a third of
// the remaining time, because the requests that arrive last have the least time to finish.
func (shutdown *shutdown) stopTimes(now time.Time) (delay, timeout time.Duration) {
	delay, timeout = shutdown.settings.StopDelay, shutdown.settings.StopTimeout
	reclaimAt := shutdown.reclaimAt.Load()
	if reclaimAt.IsZero() {
		return delay, timeout
	}
	timeLeft := max(0, reclaimAt.Sub(now))
	delay = min(delay, timeLeft/3)
	return delay, min(timeout, timeLeft-delay)
}

// startHandover hands state over to peers in two steps: at once, the states that this entry stores for other
// entries; then, HandoverTime before timeLeft has passed, its own unfinished completions.
//
// The returned function cancels the second step if it has not begun, and waits until the handover has ended.
func (shutdown *shutdown) startHandover(ctx context.Context, timeLeft time.Duration) func() {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		shutdown.handover.Leave(ctx, max(0, timeLeft-shutdown.settings.HandoverTime))
	}()
	return func() {
		cancel()
		<-done
	}
}
