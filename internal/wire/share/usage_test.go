package share_test

import (
	"math"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/cluster"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/usage"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/share"
	wireshare "github.com/rosemaryspar/rosemaryspar/internal/wire/share"
	"github.com/rosemaryspar/rosemaryspar/platform"
)

const (
	usageWindow = 5 * time.Second
	// currentWindow is the window of wallClock, and windowEndUs its end.
	currentWindow = 200_000
	windowEndUs   = (currentWindow + 1) * 5_000_000
)

// wallClock is a clock that stands 1 s before the end of currentWindow.
type wallClock struct{}

func (wallClock) WallTime() time.Time { return time.UnixMicro(windowEndUs).Add(-time.Second) }

// dropped records the defects of the reports that were dropped.
type dropped struct{ defects []usage.Defect }

func (dropped *dropped) RecordDroppedUsage(defect usage.Defect) {
	dropped.defects = append(dropped.defects, defect)
}

// usageReport returns a report of the incarnation e1#7 with one count, complete up to the time of wallClock.
func usageReport(window, count int64) *wireshare.Usage {
	return &wireshare.Usage{
		Id: "e1#7", AsOfUs: wallClock{}.WallTime().UnixMicro(),
		Windows: []*wireshare.UsageWindow{{Window: window, Accounts: []string{"desk"}, Counts: []int64{count}}},
	}
}

// withWindow adds a window with one call to a report.
func withWindow(report *wireshare.Usage, window int64) *wireshare.Usage {
	report.Windows = append(report.Windows, &wireshare.UsageWindow{Window: window, Accounts: []string{"desk"}, Counts: []int64{1}})
	return report
}

// Guards against a usage report of a faulty peer that changes what is reported for money: real counts are dropped, or counts are
// taken for complete that are not. The rest of the message counts, the reports of others included.
func TestReportsOfUsageThatCannotBeTrueAreDropped(t *testing.T) {
	cases := []struct {
		name   string
		want   usage.Defect
		report func() *wireshare.Usage
	}{
		{"window in a year", usage.DefectFuture, func() *wireshare.Usage { return usageReport(currentWindow+6_000_000, 1) }},
		{"window in a minute", usage.DefectFuture, func() *wireshare.Usage { return usageReport(currentWindow+12, 1) }},
		{"last window of all", usage.DefectFuture, func() *wireshare.Usage { return usageReport(math.MaxInt64, 1) }},
		{"complete in a day", usage.DefectFuture, func() *wireshare.Usage {
			report := usageReport(currentWindow, 9)
			report.AsOfUs += (24 * time.Hour).Microseconds()
			return report
		}},
		{"window before 1970, after others", usage.DefectWindow, func() *wireshare.Usage { return withWindow(usageReport(currentWindow, 9), math.MinInt64) }},
		{"window before 1970, before others", usage.DefectWindow, func() *wireshare.Usage { return withWindow(usageReport(-1, 9), currentWindow) }},
		{"more windows than an entry keeps", usage.DefectWindow, func() *wireshare.Usage {
			report := usageReport(currentWindow, 9)
			for window := int64(1); window <= 8; window++ {
				report = withWindow(report, currentWindow-window)
			}
			return report
		}},
		{"more calls than an entry can begin", usage.DefectCount, func() *wireshare.Usage { return usageReport(currentWindow, 500_001) }},
		{"a count whose sum overflows", usage.DefectCount, func() *wireshare.Usage { return usageReport(currentWindow, math.MaxInt64) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			shared := share.NewSharedState(stopped{}, platform.Codec{}, cluster.EntryState{Member: cluster.Member{Name: "a", Address: "10.0.0.9:1"}})
			syncer := share.NewSyncer(shared, wireshare.NewClient(), idle{}, idle{})
			recorder := &dropped{}
			peer := listen(t, wireshare.NewUsageFilter(syncer, wallClock{}, usageWindow, recorder))
			send := func(reports ...*wireshare.Usage) {
				request := soundRequest()
				request.Reports, request.Usage = true, reports
				_, err := peer.Share(t.Context(), connect.NewRequest(request))
				require.NoError(t, err)
			}
			earlier, current := usageReport(currentWindow-1, 3), usageReport(currentWindow, 5)
			earlier.AsOfUs, current.AsOfUs = earlier.AsOfUs-1_000_000, current.AsOfUs-1_000_000
			send(earlier, current)
			before := shared.Cluster().Usage()
			require.Equal(t, map[string]int64{"desk": 3}, usage.Sum(currentWindow-1, before[0].Counts))
			other := usageReport(currentWindow, 2)
			other.Id = "e2#7"
			send(c.report(), other)
			assert.Equal(t, []usage.Defect{c.want}, recorder.defects)
			assert.Contains(t, shared.Cluster().Usage(), before[0], "the report changes nothing")
			sums := []usage.Counts{}
			for _, report := range shared.Cluster().Usage() {
				sums = append(sums, report.Counts)
			}
			assert.Equal(t, map[string]int64{"desk": 7}, usage.Sum(currentWindow, sums...), "the other report counts")
			assert.EqualValues(t, 1, shared.Cluster().UsageMissing(time.UnixMicro(windowEndUs), stopped{}.Now()), "e1 may yet count calls")
		})
	}
}

// Guards against counts of a peer whose clock is a little ahead that are taken for complete before the window has ended.
func TestUsageIsCompleteNoLaterThanItsReceipt(t *testing.T) {
	answerer := &echo{}
	peer := listen(t, wireshare.NewUsageFilter(answerer, wallClock{}, usageWindow, &dropped{}))
	request := soundRequest()
	request.Usage = []*wireshare.Usage{usageReport(currentWindow, 1)}
	request.Usage[0].AsOfUs += (2 * time.Second).Microseconds()
	_, err := peer.Share(t.Context(), connect.NewRequest(request))
	require.NoError(t, err)
	require.Len(t, answerer.received.Usage, 1)
	assert.Equal(t, wallClock{}.WallTime(), answerer.received.Usage[0].AsOf)
}
