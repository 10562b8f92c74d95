package settings

import (
	"time"
)

// Settings holds the checked settings of an entry process.
type Settings struct {
	// Name is the entry's name, unique among all entries.
	Name string
	// Domain and Region are the failure domain and the region of the entry's VM.
	Domain string
	Region string
	// CallerAddress, OperatorAddress and PeerAddress are the addresses to listen on, as "IP:port".
	CallerAddress   string
	OperatorAddress string
	PeerAddress     string
	// Peers maps the names of other entries to their "IP:port" for peers. It is
	// the initial membership, for a start without a VM list.
	Peers map[string]string
	// KVAddresses are the "IP:port" addresses of the key-value service.
	KVAddresses []string
	// KVCallsPerSecond bounds the rate of this entry's calls to the key-value service.
	KVCallsPerSecond int
	// VMListURL is the URL of the VM list, empty if there is none.
	VMListURL string
	// Operators maps the hex SHA-256 of each operator's key to the operator's name.
	Operators map[string]string
	// MaxBodyBytes bounds the body of a caller's request, in bytes.
	MaxBodyBytes int
	// MemoryMb is the memory beyond which the process is killed, in MB, 0 for no limit.
	MemoryMb int
	// MaxFds is the number of descriptors that the process may open, 0 for the limit of the operating system.
	MaxFds int
	// DialTimeout bounds the time for connecting to a backend server.
	DialTimeout time.Duration
	// StopDelay is the time between turning unready and refusing new requests, in
	// which the platform's balancer detects that the entry is unready.
	StopDelay time.Duration
	// StopTimeout bounds the time after StopDelay for finishing accepted requests.
	StopTimeout time.Duration
	// HandoverTime is how long before the end of the stop unfinished completions are
	// handed over to peers.
	HandoverTime time.Duration
	// ReclaimNotice is the time between the platform's reclaim notice and the end of the VM.
	ReclaimNotice time.Duration
	// LogLevel is the lowest level that is logged: "debug", "info", "warn" or "error".
	LogLevel string
}
