// Rosemaryspar forwards model and booking requests to backend servers on reclaimable VMs, and is the command
// line for the operators of its processes. Package internal/command/cli describes its commands.
package main
