package prefill

const (
	// NominalRate is the number of prompt tokens per second that a server is assumed to read until its rate has been
	// measured.
	NominalRate = 30000
	// priorSamples is the number of samples at the nominal rate that each estimate has in addition to the measured ones,
	// so that some wrong samples at the start do not decide it.
	priorSamples = 20
	// rateQuantile is the fraction of samples below the estimated rate. It is high because the slower prompts waited
	// behind others.
	rateQuantile = 0.8
	// outlierFactor is the multiple of the median above which a sample is taken for that of a prompt which the server had
	// cached.
	outlierFactor = 3
)

// Estimate is the estimated prefill rate of the servers of a service.
type Estimate struct {
	// Rate is the number of prompt tokens per second that one server reads when it has no other work.
	Rate float64
	// Median is the median of the samples: far below Rate, most prompts wait behind others.
	Median float64
	// Samples is the number of measured samples, without the assumed ones.
	Samples int
}

// NewEstimate returns the estimate from the counts of several entries. Without samples it is the nominal rate.
func NewEstimate(service string, counts ...Counts) Estimate {
	var levels [MaxLevel + 1]int
	samples := 0
	for _, counted := range counts {
		for bucket, count := range counted {
			if bucket.Service == service && bucket.Level <= MaxLevel && count > 0 {
				levels[bucket.Level] += count
				samples += count
			}
		}
	}
	levels[NewBucket(service, NominalRate).Level] += priorSamples
	median := quantile(levels, samples+priorSamples, 0.5)
	usual := 0
	for level, count := range levels {
		if (Bucket{Level: uint8(level)}).rate() > outlierFactor*median {
			levels[level] = 0
			continue
		}
		usual += count
	}
	return Estimate{Rate: quantile(levels, usual, rateQuantile), Median: median, Samples: samples}
}

// quantile returns the rate that a fraction of the samples do not exceed, of which there are total.
func quantile(levels [MaxLevel + 1]int, total int, fraction float64) float64 {
	below := 0
	for level, count := range levels {
		below += count
		if count > 0 && float64(below) >= fraction*float64(total) {
			return (Bucket{Level: uint8(level)}).rate()
		}
	}
	return NominalRate
}
