package loadreport_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/loadreport"
)

// Guards against a faulty server that draws the fleet's requests because its garbage counts as a report of an idle server, and against
// a sum of counts that overflows. The read fails, so the server is assessed by its answers alone.
func TestOnlyCompleteReportsCount(t *testing.T) {
	cases := []struct {
		name, body string
		running    int
		ok         bool
	}{
		{"report", `{"Running":3,"Waiting":1}`, 3, true},
		{"further fields", `{"Running":3,"Waiting":0,"Chunks":8}` + "\n", 3, true},
		{"empty object", `{}`, 0, false},
		{"null", `null`, 0, false},
		{"null fields", `{"Running":null,"Waiting":null}`, 0, false},
		{"answer to another call", `{"Fencing":7,"Role":"Both","Weights":[]}`, 0, false},
		{"running only", `{"Running":3}`, 0, false},
		{"waiting only", `{"Waiting":3}`, 0, false},
		{"negative running", `{"Running":-3,"Waiting":0}`, 0, false},
		{"negative waiting", `{"Running":3,"Waiting":-9}`, 0, false},
		{"sum that overflows", `{"Running":9223372036854775807,"Waiting":9223372036854775807}`, 0, false},
		{"fraction", `{"Running":0.5,"Waiting":0}`, 0, false},
		{"bytes behind the report", `{"Running":0,"Waiting":0}garbage`, 0, false},
		{"two reports", `{"Running":0,"Waiting":0}{"Running":9,"Waiting":9}`, 0, false},
		{"repeated field", `{"Running":9,"Waiting":9,"Running":0,"Waiting":0}`, 0, false},
		{"more than its bound", `{"Running":0,"Waiting":0}` + strings.Repeat(" ", 5000), 0, false},
		{"no JSON", "\x00\xff{", 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				_, _ = writer.Write([]byte(c.body))
			}))
			defer server.Close()
			report, err := loadreport.New(time.Second).Read(t.Context(), backend.Server{Backend: config.Backend{Name: "s1", Address: server.Listener.Addr().String()}})
			if !c.ok {
				require.ErrorContains(t, err, "s1")
				assert.Zero(t, report)
				return
			}
			require.NoError(t, err)
			assert.Equal(t, c.running, report.Running)
		})
	}
}
