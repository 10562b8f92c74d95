// Package lease is an in-memory stand-in for the leases of the key-value service, for tests in virtual time.
//
// [Service] grants leases and [Lease] is one of them. A lease expires by package time's clock, and the
// revision of a grant, which serves as its fencing number, is higher than that of every earlier grant.
// [Service.Inject] makes the service unavailable, or makes it apply changes without answering them.
package lease
