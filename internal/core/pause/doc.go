// Package pause waits for a time unless a context ends first.
package pause
