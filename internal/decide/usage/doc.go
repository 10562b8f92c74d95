// Package usage counts the requests of client accounts that began to run, by time windows of the wall clock.
//
// Each entry counts its own requests ([Counts]) and sends its counts to its peers. A restarted
// entry is a new incarnation, which counts from 0. The usage report contains the sum over all
// incarnations of all entries.
package usage
