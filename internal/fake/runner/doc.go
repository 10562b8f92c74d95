// Package runner is a stand-in for a backend server that works in memory, without a network.
//
// A [Runner] has a number of slots, serves waiting requests by priority, takes time
// per prompt token and per generated token, caches recent prompts, and can be slowed,
// crashed and restarted. It reads time through package time only, so it runs in
// virtual time inside a testing/synctest bubble. The text of an answer depends on
// its prompt alone ([Text]), so that a test can check every byte of an answer,
// including an answer that was resumed at another server.
//
// [Runners] is a set of runners with the methods that the request path calls on its backend servers.
package runner
