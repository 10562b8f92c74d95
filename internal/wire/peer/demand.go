package peer

import (
	"encoding/binary"
	"math"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/membership"
)

// demandBytes is the length of the payload, a 64-bit floating-point number.
const demandBytes = 8

// EncodeDemand returns the item that reports a client account's demand, in requests per second, to peers.
func EncodeDemand(account string, demand float64) membership.Item {
	return membership.Item{
		Kind:    membership.KindDemand,
		Key:     account,
		Payload: binary.BigEndian.AppendUint64(nil, math.Float64bits(demand)),
	}
}

// DecodeDemand returns the demand in an item in requests per second, and false if the item is malformed.
func DecodeDemand(item membership.Item) (float64, bool) {
	if len(item.Payload) != demandBytes {
		return 0, false
	}
	demand := math.Float64frombits(binary.BigEndian.Uint64(item.Payload))
	return demand, demand >= 0 && demand <= maxDemand
}
