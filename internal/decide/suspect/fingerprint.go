package suspect

import (
	"github.com/cespare/xxhash/v2"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// Fingerprint identifies a request by its client account and content.
//
// The account is a field of its own and not part of the hash, so that one account cannot
// construct a request with the fingerprint of another account's request.
type Fingerprint struct {
	Account string
	// Content is a hash of the service and the content of the request.
	Content uint64
}

// FingerprintOf returns the fingerprint of a request; it does not depend on the request id, so that a resend
// has the same one.
func FingerprintOf(request call.Request) Fingerprint {
	digest := xxhash.New()
	completion, operation, opaque := request.Completion, request.Operation, request.Opaque
	for _, part := range []string{request.Service, completion.Model, completion.Prompt, operation.Method, operation.Path, opaque.Method, opaque.Target} {
		// Digest writes return no errors.
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(completion.Parameters)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(operation.Body)
	_, _ = digest.Write(opaque.Body)
	return Fingerprint{Account: request.Account, Content: digest.Sum64()}
}
