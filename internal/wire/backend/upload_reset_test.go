package backend_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/raw"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/backend"
)

// uploads is how often each pause is repeated, since the order in which the client sees the reset is not fixed.
const uploads = 40

// Guards against a part of an answer without a length that counts as a whole one, when the server resets the connection while the call is
// still being written: the error of the connection is returned once, by the write if that sees it first, and reading then ends in order.
func TestAnswerThatIsResetDuringTheUploadIsNotComplete(t *testing.T) {
	for _, pause := range raw.ResetPauses() {
		t.Run(fmt.Sprint(pause), func(t *testing.T) {
			resetting := raw.NewServer(raw.AnswerAndReset("HTTP/1.1 200 OK\r\nId: r0\r\n\r\nhel", pause))
			t.Cleanup(resetting.Close)
			server, client := directory.Server{ID: "s1", Address: resetting.Address()}, backend.New(codec{})
			for range uploads {
				body, err := fetch(client, server, request("r0", raw.UnreadBodyBytes))
				require.Error(t, err, "the body %q counts as whole", body)
			}
		})
	}
}

// Guards against a status that is none and is passed on as that of an answer, and against an interim answer that counts as the last one.
func TestStatusThatIsNoneIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "700", "999", "100", "101", "103", "199"} {
		server, client := serve(t, &script{answers: []string{"HTTP/1.1 " + status + " Odd\r\nId: ID\r\nContent-Length: 0\r\n\r\n"}, end: "close"}), backend.New(codec{})
		answer, failure := client.Open(t.Context(), server, request("r0", 1), nil)
		if !assert.NotNil(t, failure, status) {
			answer.Close()
		}
	}
	server := serve(t, &script{answers: []string{"HTTP/1.1 200 \r\nId: ID\r\nContent-Length: 5\r\n\r\nhello"}})
	answer, failure := backend.New(codec{}).Open(t.Context(), server, request("r0", 1), nil)
	require.Nil(t, failure, "a status without a reason")
	defer answer.Close()
	assert.Equal(t, http.StatusOK, answer.Head().Status)
}
