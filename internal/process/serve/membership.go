package serve

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/membership"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/control"
	"github.com/rosemaryspar/rosemaryspar/internal/process/settings"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/operator"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/peer"
)

// gossipNode is this entry among the others.
type gossipNode struct {
	state     *rcu.Cell[membership.State]
	gossip    *control.Gossip
	client    *peer.Client
	listener  net.Listener
	snapshots *Snapshots
	limits    *limits
}

// newGossipNode opens the peer address and returns an entry that knows the listed ones.
func newGossipNode(settings settings.Settings, snapshots *Snapshots) (*gossipNode, error) {
	listener, err := net.Listen("tcp", settings.PeerAddress)
	if err != nil {
		return nil, err
	}
	self := membership.Origin{Name: settings.Name, Incarnation: membership.Incarnation{Start: time.Now().UnixNano(), Random: rand.Uint32()}}
	profile := membership.Profile{Address: listener.Addr().String(), Domain: settings.Domain, Region: settings.Region}
	state := membership.NewState(self, profile)
	var listings []membership.Listing
	for name, address := range settings.Peers {
		listings = append(listings, membership.Listing{Name: name, Profile: membership.Profile{Address: address}})
	}
	gossipNode := &gossipNode{
		state:     rcu.New(state.WithListings(listings)),
		client:    peer.NewClient(),
		listener:  listener,
		snapshots: snapshots,
	}
	gossipNode.limits = newLimits(gossipNode)
	gossipNode.gossip = control.NewGossip(gossipNode.state, gossipNode.client, gossipNode, random{})
	return gossipNode, nil
}

// Report states the configuration revision in force and the demand of client accounts.
func (gossipNode *gossipNode) Report(now time.Time) []membership.Item {
	revision := gossipNode.snapshots.Set().Revision()
	items := gossipNode.limits.report(gossipNode.state.Load(), now)
	return append(items, membership.Item{Kind: membership.KindRevision, Payload: strconv.AppendInt(nil, revision, 10)})
}

// start adds the exchange and the peer port to group.
func (gossipNode *gossipNode) start(group *control.Group, history peer.History, leader peer.Leader, holder peer.HandoverStore) {
	server := peer.NewServer(gossipNode.gossip, history, leader).WithHandoverStore(holder)
	group.Go(func(ctx context.Context) error { return server.Run(ctx, gossipNode.listener) })
	group.Go(gossipNode.gossip.Run)
}

// Entries returns the revision that each live entry reported last.
func (gossipNode *gossipNode) Entries() []operator.EntryRevision {
	state, now := gossipNode.state.Load(), time.Now()
	entries := []operator.EntryRevision{{Name: state.Self().Name, Revision: gossipNode.snapshots.Set().Revision()}}
	for _, name := range state.View().Live() {
		if name != state.Self().Name {
			entries = append(entries, operator.EntryRevision{Name: name, Revision: reportedRevision(state, name, now)})
		}
	}
	return entries
}

// reportedRevision returns the revision that an entry stated, 0 if it has stated none.
func reportedRevision(state membership.State, name string, now time.Time) int64 {
	member, _ := state.View().Member(name)
	for _, item := range state.Table().ItemsOf(member.ID(), now) {
		if item.Kind != membership.KindRevision {
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
func (gossipNode *gossipNode) holder() string {
	return holderOf(gossipNode.state.Load().Self())
}

func holderOf(origin membership.Origin) string {
	return origin.Name + "@" + strconv.FormatInt(origin.Incarnation.Start, 36) + "." + strconv.FormatUint(uint64(origin.Incarnation.Random), 36)
}
