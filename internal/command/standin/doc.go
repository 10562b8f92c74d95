// Package standin is the command line of the stand-ins, which run as processes of their own.
//
// Each server prints "listening on IP:port" once it serves, so that a test can start
// it on port 0, and stops on SIGINT or SIGTERM. The commands load and slopes are
// callers instead, and end by themselves.
package standin
