// Package httpserver sets up the hertz servers of all HTTP front ends and stand-ins.
//
// They run on hertz's standard transport, whose reads block in the runtime's
// network poller; the other transport's own poller yields in a loop.
package httpserver
