// Package settings reads and checks the settings of an entry process.
//
// Each setting is a flag and an environment variable; the flag wins. All of them
// are checked at the start, and every fault is reported at once with the name,
// the value and what is allowed.
package settings
