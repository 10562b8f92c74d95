// Package http2server sets up the HTTP/2 servers for calls between entries, and bounds what their streams hold.
//
// HTTP/2 lets a client open many streams on a connection, each with a head, a body that is read up to the largest message and an answer that
// waits until it is read. All of them count as memory of the connection, at the guard of the listener.
package http2server
