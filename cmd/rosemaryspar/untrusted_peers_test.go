package main_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"github.com/rosemaryspar/rosemaryspar/internal/wire/peer"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/share"
)

const (
	// manyStreams is the number of streams that a client opens on one connection, which is the default limit of net/http.
	manyStreams = 100
	// manyStreamsClients is the number of clients that open so many, fewer than crowdClients because the tests hold all streams as well.
	manyStreamsClients = 60
	// stalledBytes is how much of a body is sent before it stops, in bytes. It is below the largest message.
	stalledBytes = 3 << 20
	// streamField is the size of a long field in bytes, and streamFields how many of them a large head has.
	streamField  = 4 << 10
	streamFields = 12
)

// peerCrowds are the kinds of clients of an address for peers, whose calls go to a path.
func peerCrowds(path string) []crowd {
	forms := append(
		named("heads_without_end", "idle_connections"),
		crowd{"frames_without_end", crowdClients, repeats(http2.ClientPreface, strings.Repeat("\x00\x00\x00\x04\x00\x00\x00\x00\x00", 1<<10))},
		crowd{"pings_without_end", crowdClients, writesFrames(func(framer *http2.Framer, _ uint32) error { return framer.WritePing(false, [8]byte{}) })},
		crowd{"heads_of_streams_without_end", crowdClients, writesFrames(beginsStream(path, -1, nothing))},
		crowd{"heads_of_many_streams", crowdClients, writesFrames(beginsStream(path, streamFields, nothing))},
		crowd{"unread_answers", crowdClients, writesFrames(beginsStream(path, 0, empty))},
		crowd{"large_streams_reset_at_once", crowdClients, writesFrames(beginsStream(path, streamFields, reset))},
		crowd{"streams_reset_at_once", crowdClients, writesFrames(beginsStream(path, 0, reset))},
		crowd{"bodies_without_end", crowdClients, sendsBodies(path, 1, func() io.Reader { return endless{} })},
		crowd{"bodies_without_end_on_many_streams", manyStreamsClients, sendsBodies(path, manyStreams, func() io.Reader { return endless{} })},
		crowd{"bodies_that_stop", crowdClients, sendsBodies(path, 1, stallingBody)},
		crowd{"bodies_that_stop_on_many_streams", manyStreamsClients, sendsBodies(path, manyStreams, stallingBody)},
		crowd{"bodies_at_an_unknown_path", crowdClients, sendsBodies("/unknown", 1, func() io.Reader { return endless{} })},
	)
	return append(forms, severalForms(forms))
}

// The paths of calls between entries, of `node` and of `serve`.
const (
	nodePeerPath  = share.ShareServiceShareProcedure
	servePeerPath = peer.PeerServiceHoldProcedure
)

// endless is a body without end.
type endless struct{}

func (endless) Read(piece []byte) (int, error) { return len(piece), nil }

// stallingBody returns a body that stops before its end until the end of the crowd.
func stallingBody() io.Reader {
	return io.MultiReader(bytes.NewReader(make([]byte, stalledBytes)), readerFunc(func([]byte) (int, error) {
		time.Sleep(crowdTime) // No condition ends it: the client holds the stream for the whole crowd.
		return 0, io.ErrUnexpectedEOF
	}))
}

// readerFunc is a function that implements [io.Reader].
type readerFunc func(piece []byte) (int, error)

func (read readerFunc) Read(piece []byte) (int, error) { return read(piece) }

// sendsBodies sends calls with bodies on some streams of the connection, within the windows of the server.
func sendsBodies(path string, streams int, body func() io.Reader) client {
	return func(conn net.Conn) {
		unused := make(chan net.Conn, 1)
		unused <- conn
		protocols := &http.Protocols{}
		protocols.SetUnencryptedHTTP2(true)
		transport := &http.Transport{Protocols: protocols, DialContext: func(context.Context, string, string) (net.Conn, error) {
			select {
			case only := <-unused:
				return only, nil
			default:
				return nil, errors.New("the client has one connection")
			}
		}}
		defer transport.CloseIdleConnections()
		var calls sync.WaitGroup
		for range streams {
			calls.Go(func() {
				request, err := http.NewRequest(http.MethodPost, "http://"+conn.RemoteAddr().String()+path, body()) //nolint:noctx // the connection has a deadline
				if err != nil {
					return
				}
				request.Header.Set("Content-Type", "application/proto")
				response, err := transport.RoundTrip(request)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			})
		}
		calls.Wait()
	}
}

// writesFrames writes frames until the connection ends, and reads nothing. Each call of write has an id of its own for a stream.
func writesFrames(write func(framer *http2.Framer, stream uint32) error) client {
	return func(conn net.Conn) {
		_, err := io.WriteString(conn, http2.ClientPreface)
		framer := http2.NewFramer(conn, nil)
		if err == nil {
			err = framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0})
		}
		for stream := uint32(1); err == nil; stream += 2 {
			err = write(framer, stream)
		}
	}
}

// beginsStream returns a function that begins a stream with some long fields in its head, and then sends something else on it. A negative number
// of fields stands for a head without end.
func beginsStream(path string, fields int, then func(framer *http2.Framer, stream uint32) error) func(framer *http2.Framer, stream uint32) error {
	return func(framer *http2.Framer, stream uint32) error {
		var block bytes.Buffer
		encoder := hpack.NewEncoder(&block)
		for _, field := range [][2]string{{":method", "POST"}, {":scheme", "http"}, {":authority", "h"}, {":path", path}, {"content-type", "application/proto"}} {
			_ = encoder.WriteField(hpack.HeaderField{Name: field[0], Value: field[1]})
		}
		err := framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: block.Bytes(), EndHeaders: fields == 0})
		for sent := 1; err == nil && (fields < 0 || sent <= fields); sent++ {
			block.Reset()
			_ = encoder.WriteField(hpack.HeaderField{Name: "x-long", Value: strings.Repeat("x", streamField), Sensitive: true})
			err = framer.WriteContinuation(stream, sent == fields, block.Bytes())
		}
		return errors.Join(err, then(framer, stream))
	}
}

// nothing sends nothing on a stream that has begun, empty an empty message, and reset that the client does not want the answer.
func nothing(*http2.Framer, uint32) error             { return nil }
func empty(framer *http2.Framer, stream uint32) error { return framer.WriteData(stream, true, nil) }
func reset(framer *http2.Framer, stream uint32) error {
	return framer.WriteRSTStream(stream, http2.ErrCodeCancel)
}
