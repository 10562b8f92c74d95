package loadreport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/fault"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/httpclient"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/strictjson"
)

const (
	step = "load report"
	// readTimeout is below the age at which a report has half its weight in the estimate of the current load.
	readTimeout = time.Second
	// maxReportBytes bounds a report; a longer answer is none.
	maxReportBytes = 4096
	// maxRequests bounds each count of a report, far beyond the slots and the queue of any server.
	maxRequests = 1_000_000
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
// or is not a whole load report.
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
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes+1))
	if err != nil {
		return backend.LoadReport{}, fault.Wrap(err, step, server.Name)
	}
	running, waiting, err := decodeCounts(body)
	if err != nil {
		return backend.LoadReport{}, fault.Wrap(err, step, server.Name)
	}
	return backend.LoadReport{Running: running, Waiting: waiting, At: sentAt}, nil
}

// decodeCounts returns the counts in a report, or an error if one of them is missing, is repeated or is out of its range: what is not a
// whole report would count as one of an idle server, which draws requests.
func decodeCounts(body []byte) (running, waiting int, err error) {
	if len(body) > maxReportBytes {
		return 0, 0, fmt.Errorf("the report exceeds %d bytes", maxReportBytes)
	}
	var reported struct{ Running, Waiting *int }
	if err := strictjson.Decode(body, &reported); err != nil {
		return 0, 0, err
	}
	if reported.Running == nil || reported.Waiting == nil {
		return 0, 0, errors.New("the report lacks Running or Waiting")
	}
	running, waiting = *reported.Running, *reported.Waiting
	if min(running, waiting) < 0 || max(running, waiting) > maxRequests {
		return 0, 0, fmt.Errorf("the report has %d running and %d waiting requests", running, waiting)
	}
	return running, waiting, nil
}
