package work

import (
	"math"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/decay"
)

const (
	// paceHalfLife is the time after which the weight of a sample of a server's pace has halved. A server's speed lasts, and what
	// slows it for a moment is over before the next call.
	paceHalfLife = 30 * time.Second
	// priorSamples is the weight of the service's pace, so that a single sample counts for half.
	priorSamples = 1.0
	// maxSamples bounds the weight of all samples, so that a change is noticed soon.
	maxSamples = 16.0
	// maxRatio bounds a sample, in both directions.
	maxRatio = 8.0
	// toleratedPace is the logarithm of a pace up to which a server counts as usual, and which is taken from a higher one. Otherwise
	// the errors of the samples would decide between equal servers, and send all calls of an entry to the same one.
	toleratedPace = 0.1
)

// Pace is the factor by which a server takes longer than its service. It is immutable, and 1 as the zero value.
type Pace struct {
	// sum is the sum of the logarithms of the samples and weight their number, both decayed up to at.
	sum, weight float64
	at          time.Duration
}

// WithSample returns the pace after a sample: a time as a multiple of the service's. Without a positive ratio nothing changes.
func (pace Pace) WithSample(ratio float64, now time.Duration) Pace {
	if !(ratio > 0) { // false for NaN
		return pace
	}
	remaining := min(pace.remaining(now), (maxSamples-1)/max(1, pace.weight))
	pace.sum = pace.sum*remaining + math.Log(min(max(ratio, 1/maxRatio), maxRatio))
	pace.weight = pace.weight*remaining + 1
	pace.at = max(pace.at, now)
	return pace
}

// Factor returns the pace, which fades to 1.
func (pace Pace) Factor(now time.Duration) float64 {
	if pace.weight == 0 {
		return 1
	}
	remaining := pace.remaining(now)
	mean := pace.sum * remaining / (pace.weight*remaining + priorSamples)
	return math.Exp(math.Copysign(max(0, math.Abs(mean)-toleratedPace), mean))
}

// remaining returns the part of the samples' weight that is left.
func (pace Pace) remaining(now time.Duration) float64 {
	return decay.ByHalfLife(now-pace.at, paceHalfLife)
}

// Server is what an entry knows of the work at a server. It is immutable.
type Server struct {
	// Decode is the pace at which the server goes on with answers, and Read the pace at which it begins them.
	Decode, Read Pace
	// peers are the samples of the decode pace of other entries.
	peers SharedPace
	// leftMs is what this entry's calls are expected to have left, at the service's usual pace in milliseconds.
	leftMs float64
}

// LeftMs returns what this entry's calls at the server are expected to have left, at the service's usual pace in milliseconds.
func (server Server) LeftMs() float64 { return server.leftMs }

// WithLeft returns the server after a change of what the entry's calls have left, in milliseconds.
func (server Server) WithLeft(changeMs float64) Server {
	server.leftMs = max(0, server.leftMs+changeMs)
	return server
}

// WithDecode returns the server after a sample of the time between events.
func (server Server) WithDecode(ratio float64, now time.Duration) Server {
	server.Decode = server.Decode.WithSample(ratio, now)
	return server
}

// WithRead returns the server after a sample of the time to the head of an answer.
func (server Server) WithRead(ratio float64, now time.Duration) Server {
	server.Read = server.Read.WithSample(ratio, now)
	return server
}
