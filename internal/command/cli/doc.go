// Package cli is the command line of rosemaryspar.
//
// An entry is a process that forwards the requests of callers to backend servers. The
// commands serve, node and try run an entry; each is a thin layer over a package of its
// own. The commands for operators call the operator front end of one running entry
// (package wire/operator) and print a table or JSON. They take the operator's key from the
// flag --key or, without it, from the environment variable ROSEMARYSPAR_OPERATOR_KEY.
//
// The exit code is 0 when the command succeeded, 1 when it failed or was refused, and 2
// when the command line or a setting is invalid.
package cli
