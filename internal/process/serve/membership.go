package serve

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/vm"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/control"
	"github.com/rosemaryspar/rosemaryspar/internal/process/settings"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/operator"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/peer"
)

// membership is this entry among the others.
type membership struct {
	state     *rcu.Cell[vm.State]
	gossip    *control.Gossip
	client    *peer.Client
	listener  net.Listener
	snapshots *Snapshots
	limits    *limits
}

// newMembership opens the peer address and returns an entry that knows the listed ones.
func newMembership(settings settings.Settings, snapshots *Snapshots) (*membership, error) {
	listener, err := net.Listen("tcp", settings.PeerAddress)
	if err != nil {
		return nil, err
	}
	self := vm.Origin{Name: settings.Name, Incarnation: vm.Incarnation{Start: time.Now().UnixNano(), Random: rand.Uint32()}}
	profile := vm.Profile{Address: listener.Addr().String(), Domain: settings.Domain, Region: settings.Region}
	state := vm.NewState(self, profile)
	var listings []vm.Listing
	for name, address := range settings.Peers {
		listings = append(listings, vm.Listing{Name: name, Profile: vm.Profile{Address: address}})
	}
	membership := &membership{
		state:     rcu.New(state.WithListings(listings)),
		client:    peer.NewClient(),
		listener:  listener,
		snapshots: snapshots,
	}
	membership.limits = newLimits(membership)
	membership.gossip = control.NewGossip(membership.state, membership.client, membership, random{})
	return membership, nil
}

// Report states the configuration revision in force and the demand of client accounts.
func (membership *membership) Report(now time.Time) []vm.Item {
	revision := membership.snapshots.Set().Revision()
	items := membership.limits.report(membership.state.Load(), now)
	return append(items, vm.Item{Kind: vm.KindRevision, Payload: strconv.AppendInt(nil, revision, 10)})
}

// start adds the exchange and the peer port to group.
func (membership *membership) start(group *control.Group, history peer.History, leader peer.Leader, holder peer.Holder) {
	server := peer.NewServer(membership.gossip, history, leader).WithHolder(holder)
	group.Go(func(ctx context.Context) error { return server.Run(ctx, membership.listener) })
	group.Go(membership.gossip.Run)
}

// Entries returns the revision that each live entry reported last.
func (membership *membership) Entries() []operator.EntryRevision {
	state, now := membership.state.Load(), time.Now()
	entries := []operator.EntryRevision{{Name: state.Self().Name, Revision: membership.snapshots.Set().Revision()}}
	for _, name := range state.View().Live() {
		if name != state.Self().Name {
			entries = append(entries, operator.EntryRevision{Name: name, Revision: reportedRevision(state, name, now)})
		}
	}
	return entries
}

// reportedRevision returns the revision that an entry stated, 0 if it has stated none.
func reportedRevision(state vm.State, name string, now time.Time) int64 {
	member, _ := state.View().Member(name)
	for _, item := range state.Table().ItemsOf(member.ID(), now) {
		if item.Kind != vm.KindRevision {
			continue
		}
		revision, err := strconv.ParseInt(string(item.Payload), 10, 64)
		if err == nil {
			return revision
		}
	}
	return 0
}

// holder returns the name of this run of the entry, which no other process uses.
func (membership *membership) holder() string {
	return holderOf(membership.state.Load().Self())
}

func holderOf(origin vm.Origin) string {
	return origin.Name + "@" + strconv.FormatInt(origin.Incarnation.Start, 36) + "." + strconv.FormatUint(uint64(origin.Incarnation.Random), 36)
}
