package membership

import (
	"strconv"
	"strings"
	"time"
)

// Server names one run of a backend server.
type Server struct {
	Name string
	// Incarnation is the start time of its VM in nanoseconds since the Unix epoch.
	Incarnation int64
}

// leavingLife is how long the leaving of a server is passed on, longer than the
// VM list lags and a partition lasts.
const leavingLife = time.Hour

// keySeparator cannot stand in the name of a VM.
const keySeparator = "/"

// WithServersLeaving returns the state with the servers that are newly known to be leaving.
//
// Servers that any entry has stated already are passed over, since many entries
// read the same VM list.
func (state State) WithServersLeaving(servers []Server, now time.Time) State {
	known := state.table.LeavingServers(now)
	var items []Item
	for _, server := range servers {
		if incarnation, ok := known[server.Name]; ok && incarnation >= server.Incarnation {
			continue
		}
		items = append(items, Item{
			Kind:    KindLeaving,
			Key:     server.Name + keySeparator + strconv.FormatInt(server.Incarnation, 10),
			Expires: now.Add(leavingLife).Unix(),
		})
	}
	if len(items) == 0 {
		return state
	}
	return state.WithPut(items...)
}

// LeavingServers returns the highest incarnation of each server that any entry stated to be leaving.
//
// A server of a higher incarnation is its replacement and takes work.
func (table Table) LeavingServers(now time.Time) map[string]int64 {
	leaving := map[string]int64{}
	for _, item := range table.Items(KindLeaving, now) {
		name, text, _ := strings.Cut(item.Key, keySeparator)
		incarnation, err := strconv.ParseInt(text, 10, 64)
		if err == nil {
			leaving[name] = max(leaving[name], incarnation)
		}
	}
	return leaving
}
