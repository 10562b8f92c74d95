// Package httpserver sets up the hertz servers of the HTTP front ends and of the fake engine and service.
//
// The servers use hertz's standard transport, whose reads block in the network poller of
// the Go runtime. The poller of hertz's other transport yields in a loop while it waits,
// and no thread may spin while it waits.
package httpserver
