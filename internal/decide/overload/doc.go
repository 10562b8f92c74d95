// Package overload decides which calls an entry rejects while the engines of a service cannot answer all of them in time.
//
// The load that it answers is a step of demand beyond capacity: most of the servers are reclaimed, or the demand doubles,
// and others need seconds to start. Without a limit, the calls wait at the remaining servers, each until its caller gives
// up, and next to none is answered in time. A [Limiter] admits as many as can be: by Little's law, a call that is sent
// while others wait is answered after the number of waiting calls divided by the rate of answers. Both are the entry's own,
// so that no report of others is needed, which would be too old after a step.
package overload
