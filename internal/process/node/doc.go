// Package node is an entry process on a platform that tells it its settings and keeps its state.
//
// It composes the pipe of opaque calls (package pipe/forward) with what the entries know
// together (package pipe/share) and with the duties that one of them has at a time (package
// pipe/duties). What the platform calls things is behind the interfaces of [Platform].
package node
