// Package slopes measures what an entry process costs per request, token, stream,
// connection, document and peer, for docs/CAPACITY.md.
//
// The entries are processes of their own, so that their processor time and memory
// are theirs alone; the stand-ins and the callers run in the measuring process. All
// loads are bounded in count and time, and each figure but those of an outage is
// measured three times.
package slopes
