// Package work estimates how much work calls are, and how fast servers do it, from what an entry sees of its own calls.
//
// The amount of a call is the number of events of a stream, or the time of the answer of a plain service in milliseconds. A [Sketch]
// keeps the decaying moments of the logarithms of the amounts of a route, or of an account on a route, and of the callers' hints. So
// it has a fixed size, an [Estimate] from it knows how uncertain it is, and hints count in the measure in which they have been right.
// A [Pace] is the factor by which a server is slower than its service; it fades to 1. A [Server] has the paces of one server and the
// work that this entry's calls have left there.
//
// An estimate without evidence is unknown, and a pace without evidence is 1.
package work
