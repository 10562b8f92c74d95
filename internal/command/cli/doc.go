// Package cli is the command line of rosemaryspar.
//
// Each command is a thin layer over a package of its own. Exit codes: 0 when the
// command did its work, 1 when it failed, 2 when the command line or a setting is
// wrong.
package cli
