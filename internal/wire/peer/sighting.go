package peer

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/membership"
)

// sightingBytes is the length of a sighting: a 64-bit float and a 64-bit time.
const sightingBytes = 16

// EncodeSlowdownReport returns the item that tells peers of a server's slowness.
//
// The payload is the slowness and the time at which work showed it, in
// nanoseconds since the Unix epoch. An age could not travel over several
// entries; clocks that differ by less than a second do no harm.
func EncodeSlowdownReport(server string, sighting backend.SlowdownReport, now time.Time) membership.Item {
	at := now.Add(-sighting.Age)
	payload := binary.BigEndian.AppendUint64(nil, math.Float64bits(sighting.Slowdown))
	return membership.Item{
		Kind:    membership.KindLoad,
		Key:     server,
		Payload: binary.BigEndian.AppendUint64(payload, uint64(at.UnixNano())),
		Expires: at.Add(backend.SlowdownReportTTL).Unix() + 1,
	}
}

// DecodeSlowdownReport returns the sighting in an item, and false for a malformed one.
func DecodeSlowdownReport(item membership.Item, now time.Time) (backend.SlowdownReport, bool) {
	if len(item.Payload) != sightingBytes {
		return backend.SlowdownReport{}, false
	}
	at := time.Unix(0, int64(binary.BigEndian.Uint64(item.Payload[8:])))
	return backend.SlowdownReport{
		Slowdown: math.Float64frombits(binary.BigEndian.Uint64(item.Payload)),
		Age:      max(0, now.Sub(at)),
	}, true
}
