// Package config holds what operators describe: services, client accounts and backend servers.
//
// A [Set] is the immutable state of all documents at one revision. A [Change]
// puts or deletes documents and yields the next set, so that every entry that
// applies the same changes in the same order holds the same set. Sets share
// what a change does not touch, so a change costs what it changes and not what
// the set holds. A [Validator] checks a change against the set it was made
// from and reports each [Finding]; [Diff] tells two sets apart.
package config
