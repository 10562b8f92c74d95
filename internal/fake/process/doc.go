// Package process runs the programs of this repository as processes of their own, for tests.
//
// [Build] builds them, [Start] starts one and reads the addresses that it prints.
// A process can be killed, frozen and resumed, and is killed at the end of a test.
package process
