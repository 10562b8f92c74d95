package share

import (
	"github.com/rosemaryspar/rosemaryspar/internal/decide/cluster"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/prefill"
)

func encodeWork(admitted, asked map[string]float64, levels cluster.Levels) *Work {
	work := &Work{PrefillSamples: encodePrefillSamples(levels.PrefillSamples), ServerPaces: encodeServerPaces(levels), RolloutMoved: encodeMoved(levels.MovedEntries)}
	for account, total := range admitted {
		work.Accounts, work.Admitted = append(work.Accounts, account), append(work.Admitted, total)
		work.Asked = append(work.Asked, asked[account])
	}
	for server, count := range levels.Running {
		work.Servers, work.Running = append(work.Servers, server), append(work.Running, uint32(max(0, count)))
	}
	for service, tokens := range levels.Demand {
		work.Services, work.Demand = append(work.Services, service), append(work.Demand, tokens)
	}
	for key, figure := range levels.ShareFigures {
		if figure > 0 {
			work.ShareKeys, work.ShareFigures = append(work.ShareKeys, key), append(work.ShareFigures, figure)
		}
	}
	return work
}

func decodeWork(work *Work) (admitted, asked map[string]float64, levels cluster.Levels) {
	levels.Demand = zipAmounts(work.GetServices(), work.GetDemand())
	levels.PrefillSamples = decodePrefillSamples(work.GetPrefillSamples())
	levels.PaceLogs, levels.PaceSamples = decodeServerPaces(work.GetServerPaces())
	levels.MovedEntries = decodeMoved(work.GetRolloutMoved())
	counts := zipMap(work.GetServers(), work.GetRunning())
	if counts != nil {
		levels.Running = make(map[uint32]int, len(counts))
	}
	for server, count := range counts {
		levels.Running[server] = int(count)
	}
	levels.ShareFigures = zipAmounts(work.GetShareKeys(), work.GetShareFigures())
	return zipAmounts(work.GetAccounts(), work.GetAdmitted()), zipAmounts(work.GetAccounts(), work.GetAsked()), levels
}

func encodePrefillSamples(counts prefill.Counts) []*PrefillSamples {
	byService := map[string]*PrefillSamples{}
	for bucket, count := range counts {
		if count <= 0 {
			continue // Rounding of a share of a sum.
		}
		samples := byService[bucket.Service]
		if samples == nil {
			samples = &PrefillSamples{Service: bucket.Service}
			byService[bucket.Service] = samples
		}
		samples.Levels, samples.Counts = append(samples.Levels, uint32(bucket.Level)), append(samples.Counts, uint32(min(count, prefill.MaxCount)))
	}
	var encoded []*PrefillSamples
	for _, samples := range byService {
		encoded = append(encoded, samples)
	}
	return encoded
}

func decodePrefillSamples(encoded []*PrefillSamples) prefill.Counts {
	if len(encoded) == 0 {
		return nil
	}
	counts := prefill.Counts{}
	for _, samples := range encoded {
		for level, count := range zipMap(samples.GetLevels(), samples.GetCounts()) {
			counts[prefill.Bucket{Service: samples.GetService(), Level: uint8(level)}] = int(count)
		}
	}
	return counts
}
