// Package usage counts the requests of client accounts that began to run, by windows of the wall clock.
//
// Each entry counts what it saw ([Counts]), and states its counts to its peers. The sum over all
// entries and incarnations is what is reported.
package usage
