// Package config models the configuration that operators manage: services, client accounts and backend servers.
//
// Each service, client account and backend server is a document, identified by its
// kind and name. A [Set] is the immutable state of all documents at one revision. A
// [Change] puts or deletes documents and yields the next set, so that all entries
// (the processes that forward requests to backend servers) that apply the same
// changes in the same order hold equal sets. Sets share the
// documents that a change does not touch, so the cost of a change grows with its
// own size and not with that of the set. A [Validator] checks a change against
// the set on which it is based and reports each [Finding]; [Diff] compares two sets.
package config
