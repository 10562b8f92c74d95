// Package platform is a stand-in for the platform around an entry: its metadata store, cloud API and runners.
//
// A [Store] keeps items, revisions and leases, can become unavailable and can lose the answers of changes.
// A [Cloud] receives usage reports. A [Runner] answers calls and counts how often each attempt ran, so
// that a test can detect an attempt that ran twice. Each of them is an HTTP server on the loopback interface.
package platform
