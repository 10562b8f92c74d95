package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/fault"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/explain"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/tcp"
)

const (
	stepStatus = "status"
	// statusTimeout is the time after which a connection that has sent no request is closed.
	// It also bounds the time in which a request is read, or its answer written.
	statusTimeout = 5 * time.Second
	// statusIdleTimeout is longer than balancers and collectors of metrics wait between two requests on a connection.
	statusIdleTimeout = 2 * time.Minute
	// statusHeadBytes bounds the fields of a request in bytes.
	statusHeadBytes = 8 << 10
)

// metricsWriter writes the metrics.
type metricsWriter interface {
	// Write writes the metrics in the Prometheus text format.
	Write(output io.Writer)
}

// statusServer answers the health checks of the platform's balancer, serves the metrics, and explains where calls would go.
type statusServer struct {
	guard    *tcp.Guard
	listener net.Listener
	server   *http.Server
}

func listenStatusServer(address, path string, ready func() bool, metrics metricsWriter, explaining http.Handler) (*statusServer, error) {
	guard := tcp.NewGuard(func() int { return statusHeadBytes })
	listener, err := tcp.ListenGuarded(address, guard)
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
	return &statusServer{guard: guard, listener: listener, server: &http.Server{
		Handler: guard.Handler(mux, explain.MaxQueryBytes), ConnContext: tcp.ConnContext, ConnState: tcp.ConnState,
		ReadHeaderTimeout: statusTimeout, ReadTimeout: statusTimeout, WriteTimeout: statusTimeout, IdleTimeout: statusIdleTimeout,
	}}, nil
}

// serve answers requests until ctx ends.
func (statusServer *statusServer) serve(ctx context.Context) error {
	err := tcp.Serve(ctx, statusServer.server, statusServer.listener)
	return fault.Wrap(err, stepStatus, statusServer.listener.Addr().String())
}
