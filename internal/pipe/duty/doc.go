// Package duty performs the work of a duty at one entry at a time, its leader.
//
// An [Elector] tries to acquire the duty's lease while package decide/duty ranks this
// entry among the candidates, runs the work while the entry is the leader, and renews
// the lease. The context of the work is cancelled, by this entry's own clock, before the
// lease can expire at the key-value service. The work receives a [Leadership]. It checks
// [Leadership.Held] before each action with an external effect, and sends the fencing
// number of the leadership with that action.
//
// During an outage of the key-value service the leader continues until its lease ends.
// After that there is no leader until the service is available again.
package duty
