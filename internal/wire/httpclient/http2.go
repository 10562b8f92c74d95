package httpclient

import (
	"net"
	"net/http"
	"time"
)

// NewHTTP2 returns a client for calls between entries, which multiplexes calls over HTTP/2 without TLS.
//
// An attempt to connect fails after dialTimeout, and a connection without calls is closed
// after idleTimeout. A nil config selects the defaults of net/http, which send no pings.
func NewHTTP2(dialTimeout, idleTimeout time.Duration, config *http.HTTP2Config) *http.Client {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:        dialer.DialContext,
		Protocols:          protocols,
		IdleConnTimeout:    idleTimeout,
		DisableCompression: true,
		HTTP2:              config,
	}}
}
