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
	// readTimeout is below the age at which a report counts half.
	readTimeout = time.Second
	// maxReportBytes bounds a report.
	maxReportBytes = 4096
)

// Client reads load reports; several threads may use it.
type Client struct {
	http *httpclient.Client
}

// New returns a client that gives up connecting after dialTimeout.
func New(dialTimeout time.Duration) *Client {
	return &Client{http: httpclient.New(dialTimeout, httpclient.Reuse)}
}

// Read returns the load that a server reports now.
func (client *Client) Read(ctx context.Context, server backend.Server) (backend.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	// The answer cannot be newer than the question.
	asked := time.Now()
	incoming, err := client.http.Do(ctx, httpclient.Call{Method: http.MethodGet, URL: "http://" + server.Address + "/load"})
	if err != nil {
		return backend.LoadReport{}, fault.Wrap(err, step, server.Name)
	}
	defer incoming.Body.Close()
	if incoming.StatusCode != http.StatusOK {
		return backend.LoadReport{}, fault.New(step, server.Name, "status %d", incoming.StatusCode)
	}
	var reported struct{ Running, Waiting int }
	if err := json.NewDecoder(io.LimitReader(incoming.Body, maxReportBytes)).Decode(&reported); err != nil {
		return backend.LoadReport{}, fault.Wrap(err, step, server.Name)
	}
	return backend.LoadReport{Running: reported.Running, Waiting: reported.Waiting, At: asked}, nil
}
