// Package standin is the command line of the stand-ins for the systems around an entry.
//
// An entry is a process that forwards the requests of callers to backend servers. A
// stand-in is a simplified server for tests, run as a separate process: the key-value
// service, a model engine or a plain service. It prints "listening on IP:port" once it
// accepts connections, so that a test can start it on port 0, and stops on SIGINT or
// SIGTERM. The commands load and slopes are callers instead and exit when they have finished.
package standin
