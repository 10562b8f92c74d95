//go:build review3

// Command harness-3 plays the scripted cases of the third review against the project's own entry processes.
//
// It starts `rosemaryspar node` as separate processes on loopback addresses, with stand-ins for the platform's store, the cloud API, the
// runners and the clients in its own process, and ends all of them. It exits with 0 if the rule of the case held, 1 if it was broken, and
// 2 if the case could not run. The build tag keeps it out of the default build, the linter and the tests.
package main
