package peer

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/membership"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/suspect"
)

// slowdownReportBytes is the length of the payload: a 64-bit float and a 64-bit time.
const slowdownReportBytes = 16

// EncodeSlowdownReport returns the item that reports the slowdown of a server to peers.
//
// The payload is the slowdown and the time of its latest sample, in nanoseconds
// since the Unix epoch. It is not an age, because an age would go out of date while
// several entries pass the item on unchanged. Clocks that differ by less than a
// second do no harm.
func EncodeSlowdownReport(server string, report backend.SlowdownReport, now time.Time) membership.Item {
	sampledAt := now.Add(-report.Age)
	payload := binary.BigEndian.AppendUint64(nil, math.Float64bits(report.Slowdown))
	return membership.Item{
		Kind:    membership.KindLoad,
		Key:     server,
		Payload: binary.BigEndian.AppendUint64(payload, uint64(sampledAt.UnixNano())),
		Expires: sampledAt.Add(backend.SlowdownReportTTL).Unix() + 1,
	}
}

// DecodeSlowdownReport returns the report in an item with its age at now, and false if the item is malformed or from
// the future.
func DecodeSlowdownReport(item membership.Item, now time.Time) (backend.SlowdownReport, bool) {
	if len(item.Payload) != slowdownReportBytes {
		return backend.SlowdownReport{}, false
	}
	slowdown := math.Float64frombits(binary.BigEndian.Uint64(item.Payload))
	sampledAtNs := int64(binary.BigEndian.Uint64(item.Payload[8:]))
	sampledAt := time.Unix(0, sampledAtNs)
	isNumber := slowdown > 0 && slowdown <= maxSlowdown
	if !isNumber || sampledAtNs < 0 || sampledAt.Sub(now) > suspect.MaxClockLead {
		return backend.SlowdownReport{}, false
	}
	return backend.SlowdownReport{
		Slowdown: slowdown,
		Age:      max(0, now.Sub(sampledAt)),
	}, true
}
