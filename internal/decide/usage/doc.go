// Package usage counts the requests of client accounts that began to run, by time windows of the wall clock.
//
// Each entry counts its own requests ([Counts]) and sends its counts to its peers. The usage
// report contains the sum over all entries and incarnations.
package usage
