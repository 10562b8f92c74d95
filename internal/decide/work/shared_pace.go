package work

import (
	"math"
	"time"
)

const (
	// logUnits and sampleUnits are the parts of 1 in which the sum and the weight of a [SharedPace] are counted.
	logUnits    = 100
	sampleUnits = 10
	// MaxSharedSamples is the highest weight with which one entry reports a server, in the units of [SharedPace]. One entry behind a faulty
	// network would otherwise decide for all others.
	MaxSharedSamples = 2 * sampleUnits
	// minSharedWeight is the weight of samples below which an entry does not report a server.
	minSharedWeight = 0.5
	// maxPeerWeight bounds the weight of the samples of all other entries.
	maxPeerWeight = 16.0
)

// SharedPace is the sum of samples of a server's decode pace by several entries.
type SharedPace struct {
	// Log is the sum of the logarithms of the samples in hundredths, and Samples their weight in tenths.
	Log, Samples int
}

// MaxSharedLog returns the highest magnitude of the sum of samples with a weight. It allows for rounding.
func MaxSharedLog(samples int) int {
	return int(math.Ceil(math.Log(maxRatio)*logUnits/sampleUnits)) * (samples + 1)
}

// Shared returns what an entry reports of the pace, zero if it is usual or has too few samples.
func (pace Pace) Shared(now time.Duration) SharedPace {
	weight := pace.weight * pace.remaining(now)
	if weight < minSharedWeight || math.Abs(pace.sum/pace.weight) <= toleratedPace {
		return SharedPace{}
	}
	sent := min(weight, float64(MaxSharedSamples)/sampleUnits)
	return SharedPace{Log: int(math.Round(pace.sum / pace.weight * sent * logUnits)), Samples: int(sent * sampleUnits)}
}

// WithPeers returns the server after a report of the paces of other entries, which replaces the earlier one.
func (server Server) WithPeers(shared SharedPace) Server {
	server.peers = shared
	return server
}

// Peers returns the paces that other entries have reported.
func (server Server) Peers() SharedPace { return server.peers }

// DecodeFactor returns the decode pace by the samples of this entry and of others.
func (server Server) DecodeFactor(now time.Duration) float64 {
	if server.peers.Samples <= 0 {
		return server.Decode.Factor(now)
	}
	weight := float64(server.peers.Samples) / sampleUnits
	mean := float64(server.peers.Log) / logUnits / weight
	mean = min(max(mean, -math.Log(maxRatio)), math.Log(maxRatio))
	weight = min(weight, maxPeerWeight)
	remaining := server.Decode.remaining(now)
	return Pace{sum: server.Decode.sum*remaining + mean*weight, weight: server.Decode.weight*remaining + weight, at: now}.Factor(now)
}
