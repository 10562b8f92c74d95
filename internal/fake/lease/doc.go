// Package lease is an in-memory stand-in for the leases of the key-value service, for tests in virtual time.
//
// A lease expires by the stand-in's clock, and each grant has a higher revision
// than the one before it. The stand-in can be out, and can lose answers.
package lease
