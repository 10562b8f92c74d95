// Package clock reads the time since boot, which goes on while a VM is suspended.
//
// Go's monotonic clock stands still during a suspension. Leases, the freshness of
// a configuration and deadlines must not, because other machines go on meanwhile.
package clock
