package httpclient

import (
	"net"
	"net/http"
	"time"
)

// NewHTTP2 returns a client that speaks HTTP/2 without TLS and multiplexes its calls, as entries do between each other.
//
// Connecting ends after dialTimeout, and connections without a call close after
// idleTimeout. A nil config stands for the defaults of net/http, without pings.
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
