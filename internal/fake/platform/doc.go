// Package platform is a stand-in for the users' platform: its metadata store, its cloud API and its runners.
//
// A [Store] keeps items, revisions and leases and can be away or lose the answers of changes. A
// [Cloud] takes usage reports. A [Runner] answers calls and counts how often each attempt ran, so
// that a test sees what ran twice. All of them are HTTP servers on loopback.
package platform
