// Package serve composes an entry process from its filters, front ends and control paths.
//
// An [Entry] is built from [Parts], so that the serve command, the embedded
// default and tests run the same composition with other ends. All parts run in
// one group and stop together.
package serve
