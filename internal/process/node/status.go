package node

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/fault"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/explain"
)

const (
	stepStatus = "status"
	// statusTimeout is the time after which a connection that has sent no request is closed.
	statusTimeout = 5 * time.Second
)

// metricsWriter writes the metrics.
type metricsWriter interface {
	// Write writes the metrics in the Prometheus text format.
	Write(output io.Writer)
}

// statusServer answers the health checks of the platform's balancer and serves the metrics.
type statusServer struct {
	listener net.Listener
	server   *http.Server
}

func listenStatusServer(address, path string, ready func() bool, metrics metricsWriter, explaining http.Handler) (*statusServer, error) {
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
	mux.Handle("POST "+explain.Path, explaining)
	return &statusServer{listener: listener, server: &http.Server{Handler: mux, ReadHeaderTimeout: statusTimeout}}, nil
}

// serve answers requests until ctx ends.
func (statusServer *statusServer) serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = statusServer.server.Close() })
	defer stop()
	err := statusServer.server.Serve(statusServer.listener)
	if ctx.Err() != nil && errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fault.Wrap(err, stepStatus, statusServer.listener.Addr().String())
}
