// Package runner is a small stand-in for a backend server, without a network.
//
// A [Runner] has a number of slots, serves waiting work by priority, takes time
// per prompt token and per generated token, caches prompt prefixes, and can be
// slowed, stopped and crashed. It reads time through package time only, so it
// runs in virtual time inside a testing/synctest bubble. The text of an answer
// follows from its prompt alone ([Text]), so that a test can check every byte
// of an answer, also after it went on at another server.
//
// A [Group] is several runners behind the client interfaces of the request path.
package runner
