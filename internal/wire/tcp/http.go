package tcp

import (
	"context"
	"errors"
	"net"
	"net/http"
)

// Serve answers the requests of a listener until ctx ends, and then closes all connections and returns nil.
func Serve(ctx context.Context, server *http.Server, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(listener)
	if ctx.Err() != nil && errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// ConnState follows the connections of a server with a [Guard]; it is for [http.Server].
func ConnState(conn net.Conn, state http.ConnState) {
	guarded, ok := conn.(*Conn)
	switch {
	case !ok:
	case state == http.StateIdle && !guarded.guard.multiplexes(): // A stream gives back what it holds itself, maybe later.
		guarded.endCall()
	case state == http.StateClosed:
		guarded.endLingering()
	}
}

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// ConnContext adds the connection to the context of its requests; it is for [http.Server].
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// ConnOf returns the connection of a request, nil without one.
func ConnOf(ctx context.Context) *Conn {
	conn, _ := ctx.Value(connKey{}).(*Conn)
	return conn
}
