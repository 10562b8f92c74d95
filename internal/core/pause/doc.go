// Package pause sleeps for a time that the end of a context cuts short.
package pause
