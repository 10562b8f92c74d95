package quota

import (
	"math"
	"time"
)

const (
	// recentTime is the time over which the latest demand of an entry is counted.
	recentTime = 750 * time.Millisecond
	// growthDeviations is by how many standard deviations the latest demand must exceed a growth for it to count, since the few
	// requests of one of many entries vary by chance.
	growthDeviations = 1.5
	// shrinkingRequests is the number of requests by which a decrease is made smaller, for the same reason.
	shrinkingRequests = 6.0
	// latestRateWindow is the time over which the latest rate that peers are asked for is averaged, shorter than the rate window.
	latestRateWindow = 800 * time.Millisecond
	// maxGrowth bounds the factor by which this entry's demand is taken to have grown, and so what peers are assumed to be asked for.
	maxGrowth = 6.0
	// minRequests is the number of requests from which on their sizes are known well enough.
	minRequests = 8
	// requestSizeWeight is the weight of a request in the mean size of requests.
	requestSizeWeight = 0.05
)

// growth returns by which factor the entry's own demand has changed since the time of the reports, as far as chance does not
// explain it. What an account asks for at its peers is assumed to have changed alike.
func (bucket Bucket) growth(now time.Duration) float64 {
	if bucket.window.Length == 0 || bucket.requestSizes.count < minRequests || bucket.requestSizes.mean <= 0 {
		return 1
	}
	before := now - bucket.delay
	usual := bucket.askedHistory.between(before-bucket.rateWindow(), before) / bucket.rateWindow().Seconds() * recentTime.Seconds()
	recent := bucket.askedHistory.between(now-recentTime, now)
	if recent < usual {
		return (recent + shrinkingRequests*bucket.requestSizes.mean) / (usual + shrinkingRequests*bucket.requestSizes.mean)
	}
	certain := recent - growthDeviations*math.Sqrt(recent*bucket.requestSizes.unit())
	return max(1, min(maxGrowth, certain/max(usual, bucket.requestSizes.unit())))
}

// changedRate returns the rate that a peer is asked for: the latest one where it differs from the average by more than chance
// explains.
func (bucket Bucket) changedRate(peer peerReport) float64 {
	deviation := growthDeviations * math.Sqrt(max(0, peer.askedRate, peer.latestAskedRate)*bucket.requestSizes.unit()/latestRateWindow.Seconds())
	if bucket.window.Length == 0 || math.Abs(peer.latestAskedRate-peer.askedRate) <= deviation {
		return peer.askedRate
	}
	return peer.latestAskedRate
}

// requestSizes are the means of the sizes of requests and of their squares.
type requestSizes struct {
	count        int
	mean, square float64
}

// withSize returns the sizes with that of a request.
func (sizes requestSizes) withSize(size float64) requestSizes {
	sizes.count++
	weight := max(requestSizeWeight, 1/float64(sizes.count))
	sizes.mean += weight * (size - sizes.mean)
	sizes.square += weight * (size*size - sizes.square)
	return sizes
}

// unit returns the size that, times a sum of sizes, is the variance of that sum.
func (sizes requestSizes) unit() float64 {
	return sizes.square / max(sizes.mean, math.SmallestNonzeroFloat64)
}
