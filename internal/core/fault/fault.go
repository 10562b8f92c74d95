package fault

import (
	"github.com/samber/oops"
)

const peerKey = "Peer"

// New returns an error that arose at step in dealing with peer.
//
// Peer is a name or an address, or empty when the fault is local.
func New(step, peer, format string, args ...any) error {
	return oops.In(step).With(peerKey, peer).Errorf(messagePrefix(step, peer)+format, args...)
}

// Wrap adds the step and the peer to err, and returns nil for a nil err.
func Wrap(err error, step, peer string) error {
	if err == nil {
		return nil
	}
	return oops.In(step).With(peerKey, peer).Wrapf(err, "%s", withoutColon(messagePrefix(step, peer)))
}

// Step returns the step of the innermost fault in err, or an empty string.
func Step(err error) string {
	fault, ok := oops.AsOops(err)
	if !ok {
		return ""
	}
	return fault.Domain()
}

// Peer returns the peer of the innermost fault in err, or an empty string.
func Peer(err error) string {
	fault, ok := oops.AsOops(err)
	if !ok {
		return ""
	}
	peer, _ := fault.Context()[peerKey].(string)
	return peer
}

func messagePrefix(step, peer string) string {
	if peer == "" {
		return step + ": "
	}
	return step + " " + peer + ": "
}

func withoutColon(prefix string) string {
	return prefix[:len(prefix)-len(": ")]
}
