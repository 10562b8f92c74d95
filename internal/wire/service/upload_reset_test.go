package service_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/raw"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/service"
)

// uploads is how often each pause is repeated, since the order in which the client sees the reset is not fixed.
const uploads = 40

// Guards against a part of an answer without a length that is recorded and passed on as a whole one, when the service resets the connection
// while the operation is still being written.
func TestAnswerThatIsResetDuringTheUploadIsNotComplete(t *testing.T) {
	for _, pause := range raw.ResetPauses() {
		t.Run(fmt.Sprint(pause), func(t *testing.T) {
			resetting := raw.NewServer(raw.AnswerAndReset("HTTP/1.1 200 OK\r\n\r\nhel", pause))
			t.Cleanup(resetting.Close)
			server, client := backend.Server{Backend: config.Backend{Name: "s1", Address: resetting.Address()}}, service.New(time.Second)
			for _, key := range []string{"k", ""} {
				for range uploads {
					answer, err := client.Do(t.Context(), server, call.Request{
						Account: "desk", IdempotencyKey: key, Operation: call.Operation{Method: http.MethodPost, Path: "/orders", Body: make([]byte, raw.UnreadBodyBytes)},
					})
					require.Error(t, err, "the body %q counts as whole", answer.Body)
				}
			}
		})
	}
}
