package forward_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/placement"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/route"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/work"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/forward"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// pacedStream is the body of a stream that pauses before each event.
type pacedStream struct {
	pause       time.Duration
	next, count int
}

func (paced *pacedStream) Read(piece []byte) (int, error) {
	if paced.next == paced.count {
		return 0, io.EOF
	}
	paced.next++
	time.Sleep(paced.pause)
	return copy(piece, fmt.Sprintf("id: %d\ndata: x\n\n", paced.next)), nil
}

// pacedServers are engines with streams of events, each with its pause between them.
type pacedServers struct {
	*environment
	events int
	pauses map[string]time.Duration
	sentTo map[string]int
}

// newPacedServers returns four engines of the same speed.
func newPacedServers() *pacedServers {
	const pause = 30 * time.Millisecond
	return &pacedServers{environment: newEnvironment(route.KindStream), events: 40, pauses: map[string]time.Duration{"s0": pause, "s1": pause, "s2": pause, "s3": pause}}
}

func (servers *pacedServers) Open(_ context.Context, server directory.Server, _ call.Request, _ func() bool) (forward.Answer, *call.Failure) {
	servers.sentTo[server.ID]++
	return &answer{call.AnswerHead{Status: http.StatusOK, Stream: true}, &pacedStream{pause: servers.pauses[server.ID], count: servers.events}}, nil
}

// Now returns a time that passes, in place of that of the environment.
func (servers *pacedServers) Now() time.Duration { return time.Since(epoch) }

// recordedWork records what is reported of estimates and choices.
type recordedWork struct {
	estimated, amount float64
	changed           int
}

func (recorded *recordedWork) RecordEstimate(_ string, estimated, amount float64) {
	recorded.estimated, recorded.amount = estimated, amount
}

func (recorded *recordedWork) RecordChoice(_ string, changed bool) {
	if changed {
		recorded.changed++
	}
}

// newDelivery returns a delivery to the servers, which it makes those of the only route.
func (servers *pacedServers) newDelivery(observations *forward.Observations, recorder forward.WorkRecorder) *forward.Delivery {
	streams := route.Route{Name: "r", Host: "a", Prefix: "/", Public: true, Kind: route.KindStream, Services: []route.WeightedService{{Service: "engines", Weight: 1}}}
	servers.table, servers.sentTo = route.NewTable(1, []route.Route{streams}, []route.Service{{Name: "engines", Engine: route.Engine{Slots: 4}}}, nil, route.Limits{}), map[string]int{}
	dependencies := servers.dependencies(servers)
	dependencies.Observations, dependencies.Estimates = observations, forward.NewEstimates(recorder)
	return forward.NewDelivery(dependencies)
}

// handleStreams sends calls of one kind, and returns the number of each server's calls.
func (servers *pacedServers) handleStreams(t *testing.T, delivery *forward.Delivery, count int) map[string]int {
	servers.sentTo = map[string]int{}
	for range count {
		servers.handleStream(t, delivery, servers)
	}
	return servers.sentTo
}

// handleStream sends a call that asks for a long answer.
func (servers *pacedServers) handleStream(t *testing.T, delivery *forward.Delivery, reply request.Reply) {
	opaque := call.Opaque{Method: "POST", Target: "/x", Path: "/x", Host: "a", Prompt: call.Prompt{Input: 100, Output: 1000}}
	_, err := request.Chain(delivery, forward.Match(servers)).Handle(t.Context(), request.Exchange{
		Reply: reply, Request: call.Request{ID: "1", Arrived: time.Now(), Deadline: time.Now().Add(15 * time.Second), Opaque: opaque},
	})
	require.NoError(t, err)
}

// Guards against long streams that go to a slow server although the entry has seen how slow it is, and against work that stays recorded
// after the calls have ended.
func TestStreamsAvoidAServerThatTheEntryHasSeenToBeSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		servers := newPacedServers()
		recorded, observations := &recordedWork{}, forward.NewObservations()
		delivery := servers.newDelivery(observations, recorded)
		usual := servers.handleStreams(t, delivery, 200)
		assert.InDelta(t, 50, usual["s0"], 25, usual)
		servers.pauses["s0"] = 90 * time.Millisecond
		learned := servers.handleStreams(t, delivery, 200)
		t.Log(usual, learned)
		assert.Less(t, learned["s0"], 20, learned)
		assert.Positive(t, recorded.changed)
		assert.InEpsilon(t, 40, recorded.estimated, 0.1)
		assert.Equal(t, 40.0, recorded.amount)
		for _, candidate := range observations.Candidates(servers.servers.OfService("engines")) {
			assert.Zero(t, candidate.Observation.Work().LeftMs(), candidate.Server.ID)
		}
	})
}

// slowReply is the reply of a caller that takes its time for each piece.
type slowReply struct{ request.Reply }

func (slowReply slowReply) Write(piece []byte) error {
	time.Sleep(200 * time.Millisecond)
	return slowReply.Reply.Write(piece)
}

// Guards against callers that leave their answers unread and so make servers look slow, to this entry and by its reports to others.
func TestSlowCallersDoNotMakeServersLookSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		servers := newPacedServers()
		observations := forward.NewObservations()
		delivery := servers.newDelivery(observations, &recordedWork{})
		servers.handleStreams(t, delivery, 100)
		for range 40 {
			servers.handleStream(t, delivery, slowReply{servers})
		}
		for _, candidate := range observations.Candidates(servers.servers.OfService("engines")) {
			assert.Equal(t, 1.0, candidate.Observation.Work().DecodeFactor(servers.Now()), candidate.Server.ID)
		}
	})
}

// Guards against entries that learn alone where each meets a server rarely, and against reports among few entries, which do not need them.
func TestPacesAreReportedAmongManyEntries(t *testing.T) {
	server := directory.Server{ID: "s0", StartedMs: 1}
	slow, other := forward.NewObservations(), forward.NewObservations()
	slow.Update(server, func(observation placement.Observation) placement.Observation {
		return observation.WithWork(func(server work.Server) work.Server {
			return server.WithDecode(2, time.Minute).WithDecode(2, time.Minute)
		})
	})
	slow.MergePeers(nil, 9)
	logs, samples := slow.Paces(time.Minute)
	assert.Empty(t, logs)
	assert.Empty(t, samples)

	slow.MergePeers(nil, 90)
	factor := func() float64 {
		return other.Candidates([]directory.Server{server})[0].Observation.Work().DecodeFactor(time.Minute)
	}
	assert.Equal(t, 1.0, factor())
	other.MergePaces(slow.Paces(time.Minute))
	assert.Greater(t, factor(), 1.3)
	other.MergePaces(nil, nil)
	assert.Equal(t, 1.0, factor())
}
