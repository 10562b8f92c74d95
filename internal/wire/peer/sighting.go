package peer

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/vm"
)

// sightingBytes is the length of a sighting: a 64-bit float and a 64-bit time.
const sightingBytes = 16

// EncodeSighting returns the item that tells peers of a server's slowness.
//
// The payload is the slowness and the time at which work showed it, in
// nanoseconds since the Unix epoch. An age could not travel over several
// entries; clocks that differ by less than a second do no harm.
func EncodeSighting(server string, sighting backend.Sighting, now time.Time) vm.Item {
	at := now.Add(-sighting.Age)
	payload := binary.BigEndian.AppendUint64(nil, math.Float64bits(sighting.Slowness))
	return vm.Item{
		Kind:    vm.KindLoad,
		Key:     server,
		Payload: binary.BigEndian.AppendUint64(payload, uint64(at.UnixNano())),
		Expires: at.Add(backend.SightingLife).Unix() + 1,
	}
}

// DecodeSighting returns the sighting in an item, and false for a malformed one.
func DecodeSighting(item vm.Item, now time.Time) (backend.Sighting, bool) {
	if len(item.Payload) != sightingBytes {
		return backend.Sighting{}, false
	}
	at := time.Unix(0, int64(binary.BigEndian.Uint64(item.Payload[8:])))
	return backend.Sighting{
		Slowness: math.Float64frombits(binary.BigEndian.Uint64(item.Payload)),
		Age:      max(0, now.Sub(at)),
	}, true
}
