// Package clock reads the time since boot, which includes the time for which a VM is suspended.
//
// Go's monotonic clock stops during a suspension. Leases, deadlines and the age of a
// configuration must include that time, because other machines continue to run.
package clock
