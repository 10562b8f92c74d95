package peer

import "time"

const (
	// exchangeTimeout equals the interval between the exchanges of an entry. A peer that
	// does not answer within it becomes a suspect.
	exchangeTimeout = time.Second
	// configTimeout allows for a transfer of 4 MB between regions.
	configTimeout = 5 * time.Second
	// forwardTimeout bounds the forwarding of an order whose caller set no deadline.
	forwardTimeout = 30 * time.Second
	// handoverTimeout is short because a caller, or an entry whose reclaim notice is
	// running out, waits for the call.
	handoverTimeout = time.Second
	// dialTimeout is short because a VM that no longer exists does not even refuse connections, so that
	// an attempt to connect to it takes the whole time.
	dialTimeout = 500 * time.Millisecond

	// maxMessageBytes bounds a message. An entry that has just started receives all
	// items of 420 entries, about 100 KB; a log entry has up to 1 MB.
	maxMessageBytes = 4 << 20
	// maxConfigBytes bounds the log entries in one response; a larger log entry is sent alone.
	maxConfigBytes = 1 << 20
	// maxSlowdown and maxDemand bound the reported numbers, far beyond what an entry measures, so that sums and products stay finite.
	maxSlowdown = 1e9
	maxDemand   = 1e18

	// idleTimeout closes the connections that gossip leaves open. Each exchange goes
	// to another random peer, and 420 open connections in each direction would take
	// a large part of the 64 MB of memory reserved for control data.
	idleTimeout = 15 * time.Second

	// shutdownTimeout bounds the wait for calls in progress when the server stops.
	shutdownTimeout = 5 * time.Second
)
