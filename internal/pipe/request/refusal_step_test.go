package request_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// Guards against refusals that do not say which of the filters refused the call.
func TestRefusalHasTheStepOfTheInnermostFilter(t *testing.T) {
	refusing := request.HandlerFunc(func(_ context.Context, exchange request.Exchange) (request.Exchange, error) {
		return exchange, call.Refuse(call.ReasonNoBackend, "none").WithRetryAfter(time.Second)
	})
	_, err := request.Chain(refusing, request.RefusalStep("outer"), request.RefusalStep("inner")).Handle(t.Context(), request.Exchange{})
	var refusal *call.Refusal
	require.ErrorAs(t, err, &refusal)
	assert.Equal(t, call.Refusal{Reason: call.ReasonNoBackend, Detail: "none", Step: "inner", RetryAfter: time.Second}, *refusal)

	failing := request.HandlerFunc(func(_ context.Context, exchange request.Exchange) (request.Exchange, error) {
		return exchange, io.ErrUnexpectedEOF
	})
	_, err = request.Chain(failing, request.RefusalStep("outer")).Handle(t.Context(), request.Exchange{})
	assert.Equal(t, io.ErrUnexpectedEOF, err, "other errors stay as they are")
}
