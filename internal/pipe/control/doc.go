// Package control holds the control paths of an entry.
//
// A control path is a pipeline of stages joined by channels: a [Source] sends
// what it reads, [Validate] turns it into typed values and refuses the rest,
// [Merge] joins them into an immutable state, and [Publish] stores each state
// in a cell that requests read. The stages of a [Group] stop together.
//
// [Gossip] keeps the state that entries exchange. [Follow] puts the numbered
// changes of the configuration in order, from the log or from peers, and keeps
// them in a [Trail] from which it answers the peers that lag.
package control
