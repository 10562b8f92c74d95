package platform

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
)

// listedServer is what the stand-ins for unusual backend servers have in common: an id, an address and a registration.
type listedServer struct {
	id   string
	http *httptest.Server
}

// listen starts the server on a free port of the loopback interface.
func (server *listedServer) listen(serve http.HandlerFunc) { server.http = httptest.NewServer(serve) }

// Item returns the value that registers the server in the metadata store, as JSON.
func (server *listedServer) Item(service, zone string) []byte {
	return fmt.Appendf(nil, `{"Service":%q,"Address":%q,"Zone":%q,"Version":"v1","Slots":1000,"State":"ready","ColdRemainingMs":0,"Sequence":1}`,
		service, strings.TrimPrefix(server.http.URL, "http://"), zone)
}

// sign sets the fields of the answer to a request that show which call it answers, and which server does. It returns the id of the
// attempt.
func (server *listedServer) sign(writer http.ResponseWriter, request *http.Request) (attempt string) {
	attempt = request.Header.Get("X-Rosemaryspar-Attempt-Id")
	writer.Header().Set("X-Rosemaryspar-Attempt-Id", attempt)
	writer.Header().Set("X-Rosemaryspar-Upstream-Seal", server.id+"."+attempt)
	return attempt
}
