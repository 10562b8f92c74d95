package node

import (
	"slices"
	"time"
)

// Settings are the settings that the platform provides to an entry.
type Settings struct {
	// Name is the entry's name, unique among all entries.
	Name string
	// Domain and Region are the failure domain and the region of the entry's VM.
	Domain string
	Region string
	// Domains are all failure domains.
	Domains []string
	// FrontAddress, ReadyAddress and PeerAddress are "IP:port" to listen on.
	FrontAddress string
	ReadyAddress string
	PeerAddress  string
	// MetricsAddress is a further "IP:port" at which the metrics are served, empty for none. They are always at ReadyAddress.
	MetricsAddress string
	// Seeds are peer addresses of some entries, which may be down.
	Seeds []string
	// Cores is the number of processor cores that the entry may use, possibly a fraction.
	Cores float64
	// MemoryBytes is the memory beyond which the process is killed, 0 for no limit.
	MemoryBytes int64
	// MaxDescriptors is the number of descriptors that the process may open, 0 for the limit of the operating system.
	MaxDescriptors int64
	// StoreAddress and CloudAddress are "IP:port" of the metadata store and the cloud API.
	StoreAddress string
	CloudAddress string
	// StopTime is the time between the signal to stop and the forced end of the process.
	StopTime time.Duration
	// RevokeTime is the time within which an access key must stop working after it was revoked.
	RevokeTime time.Duration
	// LeaseTime is the lifetime that the entry requests for the lease of the duty.
	LeaseTime time.Duration
	// RetryAllowance is the number of retries to a service that all entries together may send
	// while it receives few calls.
	RetryAllowance float64
	// QuotaWindow, QuotaOver and QuotaSlack are the rule by which client accounts' limits are judged: the time in which all
	// entries may admit the limit, the fraction of it that may be admitted beyond it, and that in tokens or calls. Without
	// a window, an excess is paid back in full.
	QuotaWindow time.Duration
	QuotaOver   float64
	QuotaSlack  float64
	// UsageWindow is the length of a window of the usage reports. A window must be reported within UsageDue after
	// its end.
	UsageWindow time.Duration
	UsageDue    time.Duration
	// ReportsUsage and OrdersCapacity enable the tasks that the leader performs for all entries.
	ReportsUsage   bool
	OrdersCapacity bool
	// RollsOut enables roll-outs of versions. In a trial, new servers may get ExposeShare of a service's requests and ExposeSlack more, and
	// none later than RollbackTime after the 50th bad answer. ExposeSlack and RollbackTime change no decision: entries stay below the
	// share alone, and stop as soon as they can.
	RollsOut     bool
	ExposeShare  float64
	ExposeSlack  float64
	RollbackTime time.Duration
}

// RestartNeeded returns the names of the settings that differ from those with which the process started, and that
// [Node.Reload] does not put in force.
func (settings Settings) RestartNeeded(started Settings) []string {
	var names []string
	for _, setting := range []struct {
		name    string
		differs bool
	}{
		{"Name", settings.Name != started.Name},
		{"Domain", settings.Domain != started.Domain},
		{"Domains", !slices.Equal(settings.Domains, started.Domains)},
		{"FrontAddress", settings.FrontAddress != started.FrontAddress},
		{"ReadyAddress", settings.ReadyAddress != started.ReadyAddress},
		{"MetricsAddress", settings.MetricsAddress != started.MetricsAddress},
		{"PeerAddress", settings.PeerAddress != started.PeerAddress},
		{"Cores", settings.Cores != started.Cores},
		{"StoreAddress", settings.StoreAddress != started.StoreAddress},
		{"CloudAddress", settings.CloudAddress != started.CloudAddress},
		{"LeaseTime", settings.LeaseTime != started.LeaseTime},
		{"QuotaWindow", settings.QuotaWindow != started.QuotaWindow},
		{"QuotaOver", settings.QuotaOver != started.QuotaOver},
		{"QuotaSlack", settings.QuotaSlack != started.QuotaSlack},
		{"UsageWindow", settings.UsageWindow != started.UsageWindow},
		{"UsageDue", settings.UsageDue != started.UsageDue},
		{"ReportsUsage", settings.ReportsUsage != started.ReportsUsage},
		{"OrdersCapacity", settings.OrdersCapacity != started.OrdersCapacity},
		{"RollsOut", settings.RollsOut != started.RollsOut},
	} {
		if setting.differs {
			names = append(names, setting.name)
		}
	}
	return names
}
