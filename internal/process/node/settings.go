package node

import "time"

// Settings are what the platform tells an entry.
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
	// Seeds are peer addresses of some entries, which may be down.
	Seeds []string
	// Cores is the processor time of the VM, in cores.
	Cores float64
	// MemoryBytes is the memory beyond which the process is killed.
	MemoryBytes int64
	// StoreAddress and CloudAddress are "IP:port" of the metadata store and the cloud API.
	StoreAddress string
	CloudAddress string
	// StopTime is the time between the signal to stop and the end.
	StopTime time.Duration
	// RevokeTime is the time after which a key that was taken away must not work.
	RevokeTime time.Duration
	// LeaseTime is the time for which a duty is held.
	LeaseTime time.Duration
	// RepeatSlack is the number of repeats to a service that all entries together
	// may send in a quiet time.
	RepeatSlack float64
	// UsageWindow is the length of the windows of usage reports, which are due UsageDue after their end.
	UsageWindow time.Duration
	UsageDue    time.Duration
	// ReportsUsage and OrdersCapacity are the duties of the entries.
	ReportsUsage   bool
	OrdersCapacity bool
}
