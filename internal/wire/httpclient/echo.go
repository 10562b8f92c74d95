package httpclient

import (
	"fmt"
	"maps"
	"net/http"
)

// idField is the header field with the id of a request, which many servers repeat in their answer.
const idField = "X-Request-Id"

// maxEchoingServers bounds the servers that are remembered. Beyond it all are forgotten, and each gets one request on a
// connection of its own.
const maxEchoingServers = 8192

// echoingServers are the addresses of servers that repeat the id of a request in their answer. It is immutable.
type echoingServers struct {
	addresses map[string]bool
}

// contains reports whether the last answer of the server had the id of its request.
func (echoing echoingServers) contains(address string) bool { return echoing.addresses[address] }

// withServer returns the servers after an answer of the one at the address, with or without the id of its request.
func (echoing echoingServers) withServer(address string, echoes bool) echoingServers {
	if echoing.contains(address) == echoes {
		return echoing
	}
	addresses := maps.Clone(echoing.addresses)
	if addresses == nil || len(addresses) >= maxEchoingServers {
		addresses = map[string]bool{}
	}
	addresses[address] = true
	if !echoes {
		delete(addresses, address)
	}
	return echoingServers{addresses: addresses}
}

// doWithID sends a request with an id and returns its answer.
//
// A faulty server may send a second copy of an answer when the connection is in use for the next request. A connection is
// therefore used again only if the server repeats the id, by which the copy shows; it is then a [MalformedError].
func (client *Client) doWithID(request *http.Request, id string) (*http.Response, error) {
	request.Header.Set(idField, id)
	address := request.URL.Host
	request.Close = !client.echoing.Load().contains(address)
	response, err := client.http.Do(request)
	if err != nil {
		return nil, err
	}
	echoed := response.Header.Get(idField)
	client.echoing.Update(func(echoing echoingServers) echoingServers { return echoing.withServer(address, echoed == id) })
	if echoed == id || request.Close {
		return response, nil
	}
	_ = response.Body.Close()
	// A connection whose answer has no body is idle already, with the right answer still to come.
	client.CloseIdle()
	return nil, &MalformedError{Detail: fmt.Sprintf("the answer has the id %q in place of %q", echoed, id)}
}
