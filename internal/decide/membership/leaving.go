package membership

import (
	"strconv"
	"strings"
	"time"
)

// Server identifies one incarnation of a backend server.
type Server struct {
	Name string
	// Incarnation is the start time of its VM in nanoseconds since the Unix epoch.
	Incarnation int64
}

// leavingTTL is how long the item about a leaving server is propagated. It is longer
// than the platform's VM list lags behind, and than a partition lasts.
const leavingTTL = time.Hour

// keySeparator separates name and incarnation in an item's key; the name of a VM cannot contain it.
const keySeparator = "/"

// WithServersLeaving returns the state with an item for each leaving server that no entry has reported yet.
//
// Servers that any entry has already reported are skipped, since many entries
// read the same VM list and would otherwise publish the same items.
func (state State) WithServersLeaving(servers []Server, now time.Time) State {
	reported := state.table.LeavingServers(now)
	var items []Item
	for _, server := range servers {
		if incarnation, ok := reported[server.Name]; ok && incarnation >= server.Incarnation {
			continue
		}
		items = append(items, Item{
			Kind:    KindLeavingServer,
			Key:     server.Name + keySeparator + strconv.FormatInt(server.Incarnation, 10),
			Expires: now.Add(leavingTTL).Unix(),
		})
	}
	if len(items) == 0 {
		return state
	}
	return state.WithPublished(items...)
}

// LeavingServers returns the highest incarnation of each server that any entry reported as leaving.
//
// A server of the same name with a higher incarnation is the replacement and takes work.
func (table Table) LeavingServers(now time.Time) map[string]int64 {
	leaving := map[string]int64{}
	for _, item := range table.Items(KindLeavingServer, now) {
		name, text, _ := strings.Cut(item.Key, keySeparator)
		incarnation, err := strconv.ParseInt(text, 10, 64)
		if err == nil {
			leaving[name] = max(leaving[name], incarnation)
		}
	}
	return leaving
}
