// Package cli is the command line of rosemaryspar.
//
// Each command is a thin layer over a package of its own. The commands of
// operators call the front end of one entry (package operator), with the key of
// the environment variable ROSEMARYSPAR_OPERATOR_KEY unless a flag gives it, and
// print a table or JSON. Exit codes: 0 when the command did its work, 1 when it
// failed or was refused, 2 when the command line or a setting is wrong.
package cli
