package loadreport

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/fault"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/httpclient"
)

const (
	step = "load report"
	// readTimeout is below the age at which a report has half its weight in the estimate of the current load.
	readTimeout = time.Second
	// maxReportBytes bounds the part of an answer that is read, in bytes.
	maxReportBytes = 4096
)

// Client reads load reports; it is safe for concurrent use.
type Client struct {
	http *httpclient.Client
}

// New returns a client whose attempts to connect fail after dialTimeout.
func New(dialTimeout time.Duration) *Client {
	return &Client{http: httpclient.New(dialTimeout, httpclient.Reuse)}
}

// Read requests the current load report of a server.
//
// It returns an error with the server's name if the answer takes longer than 1 s, has a status other than 200,
// or is not a load report.
func (client *Client) Read(ctx context.Context, server backend.Server) (backend.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	// The time of sending is a lower bound of the time at which the server measured its load, so the report is
	// never taken for newer than it is.
	sentAt := time.Now()
	response, err := client.http.Do(ctx, httpclient.Call{Method: http.MethodGet, URL: "http://" + server.Address + "/load"})
	if err != nil {
		return backend.LoadReport{}, fault.Wrap(err, step, server.Name)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return backend.LoadReport{}, fault.New(step, server.Name, "GET /load: status %d, want 200", response.StatusCode)
	}
	var reported struct{ Running, Waiting int }
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(&reported); err != nil {
		return backend.LoadReport{}, fault.Wrap(err, step, server.Name)
	}
	return backend.LoadReport{Running: reported.Running, Waiting: reported.Waiting, At: sentAt}, nil
}
