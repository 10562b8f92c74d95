// Package resources divides the memory and the descriptors of an entry's process between the Go runtime and the clients of its addresses.
package resources
