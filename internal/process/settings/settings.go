package settings

import (
	"time"
)

// Settings are the checked settings of an entry process.
type Settings struct {
	// Name is the entry's name, unique among all entries.
	Name string
	// Domain and Region are the failure domain and the region of the entry's VM.
	Domain string
	Region string
	// CallerAddress, OperatorAddress and PeerAddress are "IP:port" to listen on.
	CallerAddress   string
	OperatorAddress string
	PeerAddress     string
	// Peers maps the names of other entries to their "IP:port" for peers, for a
	// start without a VM list.
	Peers map[string]string
	// KVAddresses are the "IP:port" addresses of the key-value service.
	KVAddresses []string
	// KVCallsPerSecond bounds this entry's calls to the key-value service.
	KVCallsPerSecond int
	// VMListURL is where the VM list is read, empty for none.
	VMListURL string
	// Operators maps the hex SHA-256 of each operator's key to the operator's name.
	Operators map[string]string
	// MaxBodyBytes bounds the body of a caller's request.
	MaxBodyBytes int
	// DialTimeout bounds connecting to a backend server.
	DialTimeout time.Duration
	// StopDelay is the time between turning unready and refusing new requests,
	// in which the platform's balancer notices.
	StopDelay time.Duration
	// StopTimeout bounds the time for finishing accepted requests after that.
	StopTimeout time.Duration
	// HandoverTime is the time left before the end at which unfinished completions
	// are handed to peers.
	HandoverTime time.Duration
	// ReclaimNotice is the time between the notice of a reclaim and the end of the VM.
	ReclaimNotice time.Duration
	// LogLevel is the least level that is logged.
	LogLevel string
}
