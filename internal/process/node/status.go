package node

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/fault"
)

const (
	stepStatus = "status"
	// statusTimeout ends connections that send no request.
	statusTimeout = 5 * time.Second
)

// writer writes the metrics.
type writer interface {
	Write(output io.Writer)
}

// status answers the platform's balancer, and serves the metrics.
type status struct {
	listener net.Listener
	http     *http.Server
}

func listenStatus(address, path string, ready func() bool, metrics writer) (*status, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.Wrap(err, stepStatus, address)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, func(writer http.ResponseWriter, _ *http.Request) {
		if !ready() {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /metrics", func(writer http.ResponseWriter, _ *http.Request) { metrics.Write(writer) })
	return &status{listener: listener, http: &http.Server{Handler: mux, ReadHeaderTimeout: statusTimeout}}, nil
}

// serve answers until the context ends.
func (status *status) serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = status.http.Close() })
	defer stop()
	err := status.http.Serve(status.listener)
	if ctx.Err() != nil && errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fault.Wrap(err, stepStatus, status.listener.Addr().String())
}
