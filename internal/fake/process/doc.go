// Package process runs the programs of this module as separate operating-system processes, for tests.
//
// [Build] builds the programs, and [Programs.Start] starts one and reads the addresses that it prints.
// A [Process] can be killed, suspended and resumed. A test must kill the processes that it started.
package process
