// Package prefill estimates how fast the servers of a service read prompts, from the samples of all entries.
//
// A sample is wrong in both directions. A prompt that the entry takes for uncached, but which the server has from another
// entry, seems to be read many times as fast; one that waits behind the prompts of other entries seems to be read more
// slowly. An entry counts its recent [Samples] by [Bucket], a range of rates. The counts of all entries are added up like
// their levels (package cluster), and an [Estimate] is a quantile of the sum. So no entry's own samples decide, a new
// leader has the same estimate as the one before, and a wrong sample no longer counts after a minute.
package prefill
