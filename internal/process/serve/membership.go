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
	"github.com/rosemaryspar/rosemaryspar/internal/wire/tcp"
)

// gossipNode is this entry as a participant in gossip: the exchanged state, the client for calls to peers, and
// the listener for calls from peers.
type gossipNode struct {
	state      *rcu.Cell[membership.State]
	gossip     *control.Gossip
	client     *peer.Client
	guard      *tcp.Guard
	listener   net.Listener
	snapshots  *Snapshots
	demandSync *demandSync
}

// newGossipNode opens the peer address and returns a node whose membership contains the peers in the settings.
func newGossipNode(settings settings.Settings, snapshots *Snapshots) (*gossipNode, error) {
	guard := tcp.NewStreamGuard()
	listener, err := tcp.ListenGuarded(settings.PeerAddress, guard)
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
		guard:     guard,
		listener:  listener,
		snapshots: snapshots,
	}
	gossipNode.demandSync = newDemandSync(gossipNode)
	gossipNode.gossip = control.NewGossip(gossipNode.state, gossipNode.client, gossipNode, random{})
	return gossipNode, nil
}

// Report returns the items that this entry publishes to peers periodically: the configuration revision in force
// and the demand of client accounts.
func (gossipNode *gossipNode) Report(now time.Time) []membership.Item {
	revision := gossipNode.snapshots.Set().Revision()
	items := gossipNode.demandSync.sync(gossipNode.state.Load(), now)
	return append(items, membership.Item{Kind: membership.KindRevision, Payload: strconv.AppendInt(nil, revision, 10)})
}

// start starts the gossip and the server for peers in group.
func (gossipNode *gossipNode) start(group *control.Group, history peer.History, leader peer.Leader, handovers peer.HandoverStore) {
	server := peer.NewServer(gossipNode.gossip, history, leader).WithHandoverStore(handovers)
	group.Go(func(ctx context.Context) error { return server.Run(ctx, gossipNode.listener) })
	group.Go(gossipNode.gossip.Run)
}

// Entries returns the configuration revision in force at this entry, and the revision that each live peer last
// reported.
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

// reportedRevision returns the configuration revision that an entry reported, 0 if it has reported none.
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

// holderID returns an identifier of this incarnation of the entry, which no other process ever uses.
func (gossipNode *gossipNode) holderID() string {
	return holderIDOf(gossipNode.state.Load().Self())
}

// holderIDOf returns an identifier in the form NAME@START.RANDOM, with both numbers in base 36.
func holderIDOf(origin membership.Origin) string {
	return origin.Name + "@" + strconv.FormatInt(origin.Incarnation.Start, 36) + "." + strconv.FormatUint(uint64(origin.Incarnation.Random), 36)
}
