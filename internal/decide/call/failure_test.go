package call_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// Guards against texts of failures with an empty place where a name belongs, such as "deliver : Reset".
func TestTextOfAFailureHasNoEmptyName(t *testing.T) {
	failure := call.Failure{Ran: call.RanUnknown, Cause: call.CauseReset, Step: "deliver", Detail: "header line too long"}
	assert.EqualError(t, &failure, "deliver: Reset (Unknown): header line too long")
	assert.EqualError(t, failure.WithPeer("s1"), "deliver s1: Reset (Unknown): header line too long")
	assert.Empty(t, failure.Peer, "the failure itself is unchanged")
	assert.EqualError(t, &call.Failure{Ran: call.RanNo, Cause: call.CauseConnect, Detail: "d"}, "Connect (NotRun): d")
}
