// Package load generates requests for the request path and checks every answer.
//
// [Run] draws the arrival times of each kind of [Work] from a seed, sends each request
// to a randomly drawn entry, compares the answer with the text that the stand-in runner
// must give, and returns a [Report] of times and outcomes. It reads time through package
// time only, so it also runs in virtual time inside a testing/synctest bubble.
package load
