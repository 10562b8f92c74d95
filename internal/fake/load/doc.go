// Package load offers work to the request path and checks every answer.
//
// [Run] draws arrivals from a seed for each kind of [Work], sends each request
// to one of several entries in turn, compares the answer with the text that the
// stand-in runner must give, and returns a [Report] of times and faults. It reads
// time through package time only, so it runs in virtual time too.
package load
