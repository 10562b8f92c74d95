// Package metadata defines the operations of a platform's metadata store that an entry uses.
//
// A store keeps items under keys. It has one revision counter, which increases with
// each change, and it supports conditional changes, leases and reads of the changes after
// a revision. When a lease ends, the store removes the keys that were written with it. A
// change without an answer may have taken effect, or may take effect later.
//
// [Leases] uses store leases and conditional changes to give each key to one holder at a
// time. A [Follower] keeps a copy of the items with a prefix current, by the changes
// since its last read.
package metadata
