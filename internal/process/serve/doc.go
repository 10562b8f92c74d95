// Package serve composes an entry process from its filters, front ends and control paths.
//
// [New] builds an [Entry] from settings and opens its sockets. The serve command, the
// try command and tests run the same composition with different addresses, backend
// servers and key-value services. [Entry.Run] runs all servers and control paths in
// one group, which stops as a whole.
//
// [Snapshots] is where the control paths and the request path meet. The control paths
// publish the configuration and the leaving backend servers to it, and each request is
// decided on one immutable view read from it.
package serve
