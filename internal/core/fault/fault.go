package fault

import (
	"github.com/samber/oops"
)

const peerKey = "Peer"

// New returns an error that occurred in step and concerns peer.
//
// The peer is a name, an address, a key or a path, and empty if the error concerns no other party.
func New(step, peer, format string, args ...any) error {
	// The prefix is an argument, since a peer may be a path or key with a percent sign.
	return oops.In(step).With(peerKey, peer).Errorf("%s"+format, append([]any{messagePrefix(step, peer)}, args...)...)
}

// Wrap adds the step and the peer to err, and returns nil for a nil err.
func Wrap(err error, step, peer string) error {
	if err == nil {
		return nil
	}
	return oops.In(step).With(peerKey, peer).Wrapf(err, "%s", withoutColon(messagePrefix(step, peer)))
}

// Step returns the step of the innermost error in err that has one, or an empty string.
func Step(err error) string {
	oopsError, ok := oops.AsOops(err)
	if !ok {
		return ""
	}
	return oopsError.Domain()
}

// Peer returns the peer of the innermost error in err that has one, or an empty string.
func Peer(err error) string {
	oopsError, ok := oops.AsOops(err)
	if !ok {
		return ""
	}
	peer, _ := oopsError.Context()[peerKey].(string)
	return peer
}

// messagePrefix returns "step peer: ", or "step: " for an empty peer.
func messagePrefix(step, peer string) string {
	if peer == "" {
		return step + ": "
	}
	return step + " " + peer + ": "
}

// withoutColon returns the prefix without its colon, which oops adds itself when it wraps an error.
func withoutColon(prefix string) string {
	return prefix[:len(prefix)-len(": ")]
}
