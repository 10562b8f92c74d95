// Package settings reads and checks the settings of an entry process.
//
// Each setting can be given as a flag or as an environment variable; a flag takes
// precedence. All settings are checked when the process starts, and one error lists
// every invalid setting with its name, its value and the values that are allowed.
package settings
