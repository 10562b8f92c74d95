// Package rollout decides how a service's traffic moves from backend servers of one software version to those of another.
//
// An operator's [Order] names the new version. The leader keeps a [Record] of it with its [Phase]: a trial with a bounded share of
// the calls, the shift of all calls, and then the end, done or rolled back ([Next]). Each entry derives from both which servers may
// get a call ([State.SideOf]), bounds by itself what new servers get in the trial ([State.WithExposure]), and compares both versions by
// what all entries have counted ([Totals], [Monitor]). An entry that finds the new version bad stops by itself, for good. Orders and
// records stay in force when the store loses them or is restored from a backup ([Known], [State.WithPlan]).
package rollout
