package operator_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	pipeconfig "github.com/rosemaryspar/rosemaryspar/internal/pipe/config"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/kv"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/document"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/operator"
)

// views is the view of an entry at revision 3.
type views struct{}

func (views) View() request.View {
	return request.View{Config: config.Set{}.WithChange(config.Change{Revision: 3})}
}

// committer returns the same error for each commit.
type committer struct{ err error }

func (committer committer) Commit(context.Context, string, []byte) (pipeconfig.Receipt, error) {
	return pipeconfig.Receipt{Revision: 4}, committer.err
}

func call(t *testing.T, address, method, path, key, body string) (int, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+address+path, bytes.NewBufferString(body))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(text)
}

// Guards against answers that do not report whether a change was accepted, and against access
// without an operator's key.
func TestAnswers(t *testing.T) {
	winner := config.Change{ID: "w", Author: "yann", Revision: 4}
	cases := []struct {
		name, method, path, key string
		changes                 operator.Committer
		status                  int
		want                    string
	}{
		{"accepted", "POST", "/config", "key", committer{}, 200, `"Revision":4`},
		{"no key", "POST", "/config", "", committer{}, 401, "Authorization"},
		{"wrong key", "GET", "/config", "kex", nil, 401, "Authorization"},
		{"no key-value service", "POST", "/config", "key", nil, 501, "no key-value service"},
		{"malformed", "POST", "/config", "key", committer{&document.Error{Position: "Base", Problem: "missing"}}, 400, "Base: missing"},
		{"conflict", "POST", "/config", "key", committer{&pipeconfig.ConflictError{Revision: 4, Winner: &winner}}, 409, `"Winner":{"ID":"w","Base":3,"Author":"yann"}`},
		{"conflict with a truncated change", "POST", "/config", "key", committer{&pipeconfig.ConflictError{Revision: 4}}, 409, "no longer holds"},
		{"future base", "POST", "/config", "key", committer{&config.RevisionError{Have: 3, Change: 9}}, 409, "does not follow"},
		{"rejected", "POST", "/config", "key", committer{&pipeconfig.RejectedError{Findings: []config.Finding{{Severity: config.SeverityError, Field: "Slots"}}}}, 422, `"Field":"Slots"`},
		{"too large", "POST", "/config", "key", committer{pipeconfig.ErrTooLarge}, 413, "split it"},
		{"uncertain", "POST", "/config", "key", committer{&pipeconfig.UncertainError{Revision: 4, Cause: io.EOF}}, 503, `"Unsure":true`},
		{"key-value service does not answer", "POST", "/config", "key", committer{&kv.UnansweredError{Cause: io.EOF}}, 503, "not committed"},
		{"other", "POST", "/config", "key", committer{errors.New("broken")}, 500, "broken"},
		{"empty history", "GET", "/config/history?after=0", "key", nil, 200, `"Since":3,"Changes":[]`},
		{"history after no revision", "GET", "/config/changes?after=x", "key", nil, 400, "after: must be a revision"},
		{"this entry only", "GET", "/entries", "key", nil, 200, `"Entries":[{"Name":"entry-1","Revision":3}]`},
		{"select", "POST", "/select", "key", nil, 400, "line 1 column 1"},
	}
	sum := sha256.Sum256([]byte("key"))
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var log bytes.Buffer
			server, err := operator.Listen("127.0.0.1:0", operator.Dependencies{
				Name: "entry-1", Operators: map[string]string{hex.EncodeToString(sum[:]): "nolwenn"},
				Views: views{}, Committer: c.changes, Logger: zerolog.New(&log),
			})
			require.NoError(t, err)
			ctx, stop := context.WithCancel(t.Context())
			ended := make(chan error)
			go func() { ended <- server.Serve(ctx) }()
			status, body := call(t, server.Address(), c.method, c.path, c.key, "")
			stop()
			require.NoError(t, <-ended)
			assert.Equal(t, c.status, status, body)
			assert.Contains(t, body, c.want)
			assert.Contains(t, log.String(), `"Action":"`+c.method+" /")
		})
	}
}
