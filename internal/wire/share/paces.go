package share

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/cluster"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/work"
)

// maxSentPaces bounds the servers whose paces a message has, each in about 7 bytes.
const maxSentPaces = 256

// encodeServerPaces encodes the paces of the servers that differ most, nil for none.
func encodeServerPaces(levels cluster.Levels) *ServerPaces {
	var servers []uint32
	for server, samples := range levels.PaceSamples {
		if samples > 0 && samples <= maxServerCalls {
			servers = append(servers, server)
		}
	}
	if len(servers) == 0 {
		return nil
	}
	if len(servers) > maxSentPaces {
		slices.SortFunc(servers, func(a, b uint32) int {
			return cmp.Compare(magnitude(levels.PaceLogs[b]), magnitude(levels.PaceLogs[a]))
		})
		servers = servers[:maxSentPaces]
	}
	encoded := &ServerPaces{Servers: servers}
	for _, server := range servers {
		samples := levels.PaceSamples[server]
		bound := work.MaxSharedLog(samples)
		encoded.Logs = append(encoded.Logs, int32(min(max(levels.PaceLogs[server], -bound), bound)))
		encoded.Samples = append(encoded.Samples, uint32(samples))
	}
	return encoded
}

// magnitude returns the absolute value.
func magnitude(value int) int { return max(value, -value) }

// decodeServerPaces decodes what [encodeServerPaces] encoded.
func decodeServerPaces(encoded *ServerPaces) (logs, samples map[uint32]int) {
	if len(encoded.GetServers()) == 0 {
		return nil, nil
	}
	logs, samples = map[uint32]int{}, map[uint32]int{}
	for server, log := range zipMap(encoded.GetServers(), encoded.GetLogs()) {
		logs[server] = int(log)
	}
	for server, weight := range zipMap(encoded.GetServers(), encoded.GetSamples()) {
		samples[server] = int(weight)
	}
	return logs, samples
}

// checkServerPaces returns an error if the paces are not those of sound entries.
func checkServerPaces(field string, paces *ServerPaces) error {
	servers, logs, samples := paces.GetServers(), paces.GetLogs(), paces.GetSamples()
	if len(servers) > maxSentPaces || len(logs) != len(servers) || len(samples) != len(servers) {
		return fmt.Errorf("%s: paces of %d servers with %d sums and %d weights, or of more than %d", field, len(servers), len(logs), len(samples), maxSentPaces)
	}
	for i, weight := range samples {
		if weight > maxServerCalls || magnitude(int(logs[i])) > work.MaxSharedLog(int(weight)) {
			return fmt.Errorf("%s: a pace has the sum %d and the weight %d", field, logs[i], weight)
		}
	}
	return nil
}

// checkOwnPaces returns an error if an entry reports more samples of a server than one entry may.
func checkOwnPaces(field string, paces *ServerPaces) error {
	for _, weight := range paces.GetSamples() {
		if weight > work.MaxSharedSamples {
			return fmt.Errorf("%s: a pace with the weight %d, more than %d of one entry", field, weight, work.MaxSharedSamples)
		}
	}
	return nil
}
