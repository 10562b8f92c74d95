// Package node is an entry process on a platform that provides its settings and stores its state.
//
// It connects the pipeline of opaque calls (package pipe/forward) with the state that the entries
// share (package pipe/share) and with the duty that one entry at a time performs for all of them
// (package pipe/duties). The interfaces of [Platform] hide the names and encodings of the platform.
package node
