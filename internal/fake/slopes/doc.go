// Package slopes measures the marginal costs of an entry process for docs/CAPACITY.md.
//
// A cost is the slope of the CPU time, the memory, the bytes read and written or the calls to the
// key-value service over a number of requests, tokens, streams, connections, documents or peers.
//
// The entries run as separate processes, so that their CPU time and memory can be measured
// on their own; the stand-ins and the callers run in the measuring process. All loads are
// bounded in count and time, and each figure is measured three times, except those of an outage.
package slopes
