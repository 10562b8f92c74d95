//go:build review

// Program standins plays the cases of the review: it starts entry processes before stand-ins for the store, the cloud,
// the servers and the clients, and checks one rule.
//
// It is built with the tag review only, so that the default build and the tests leave it out.
package main
