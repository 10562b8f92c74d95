package peer

import "time"

const (
	// exchangeTimeout is short, since a peer that does not answer within the
	// interval of exchanges is to be suspected.
	exchangeTimeout = time.Second
	// configTimeout allows for 4 MB between regions.
	configTimeout = 5 * time.Second
	// forwardTimeout bounds an order whose caller set no deadline.
	forwardTimeout = 30 * time.Second
	// handoverTimeout is short, since a caller or the end of a notice waits for it.
	handoverTimeout = time.Second
	// dialTimeout is short, since a VM that is gone answers nothing at all.
	dialTimeout = 500 * time.Millisecond

	// maxMessageBytes bounds a message; an entry that just started receives all
	// items of 420 entries, about 100 KB, and a log entry has up to 1 MB.
	maxMessageBytes = 4 << 20
	// maxConfigBytes bounds the log entries in one response, but for a single larger one.
	maxConfigBytes = 1 << 20

	// idleTimeout closes connections that gossip leaves behind: each exchange
	// goes to another random peer, and 420 open connections each way would take
	// a large part of the 64 MB for control.
	idleTimeout = 15 * time.Second
	// readHeaderTimeout ends connections that send no request.
	readHeaderTimeout = 5 * time.Second
	// shutdownTimeout bounds the wait for calls in progress when the server stops.
	shutdownTimeout = 5 * time.Second
)
