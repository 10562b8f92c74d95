// Package sharing decides whose calls an entry rejects while the servers of a service cannot do all the work that is asked
// for.
//
// The load that it answers is a lasting lack of capacity: servers are reclaimed, one route doubles, or accounts send several
// times what they usually do. A [State] measures the work that is asked for and done, by [Class], adds what other entries
// measure, and makes a [Plan]: the part of each class's calls that is admitted. An account's excess over its usual demand
// goes first, then lower priorities, down to a floor for each class. Within a class, calls of all sizes are rejected alike.
//
// The work that is asked for is counted when a call arrives, so that rejected calls count too. Work is in prompt tokens for
// engines and in calls for plain services.
//
// Where all classes of a service have the same priority, nothing is measured and nothing is rejected; package overload then
// rejects calls by their expected wait.
package sharing
