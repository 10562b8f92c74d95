package kvlog_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	fakekv "github.com/rosemaryspar/rosemaryspar/internal/fake/kv"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/kv"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/kvlog"
)

// Guards against an append that is reported as not written although it was, because the answer to the write is garbage: the caller of
// a booking is then told that it did not run, and its intent is in the log.
func TestAppendWhoseAnswerIsGarbageIsNotReportedAsUnwritten(t *testing.T) {
	for _, garbage := range []string{`{}`, `null`, `{"header":{"revision":"9"}}`, `{"succeeded":false,"responses":[{"response_range":{"kvs":[{"key":"eA=="}]}}]}`} {
		t.Run(garbage, func(t *testing.T) {
			server, err := fakekv.Start("127.0.0.1:0")
			require.NoError(t, err)
			defer func() { require.NoError(t, server.Close()) }()
			proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: server.Address()})
			var garbled atomic.Bool
			front := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
				if request.URL.Path != "/v3/kv/txn" || !garbled.CompareAndSwap(false, true) {
					proxy.ServeHTTP(writer, request)
					return
				}
				proxy.ServeHTTP(httptest.NewRecorder(), request)
				_, _ = writer.Write([]byte(garbage))
			}))
			defer front.Close()
			client := kv.New(kv.DefaultSettings(strings.TrimPrefix(front.URL, "http://")))
			defer client.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			require.NoError(t, kvlog.New(client, "log").Append(ctx, entry(1, "a")))
		})
	}
}
