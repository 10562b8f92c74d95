// Package control provides the control paths of an entry: the pipelines that
// update the state on which requests are decided.
//
// A control path is a pipeline of stages connected by channels. A [Source] sends
// the values that it reads, [Validate] converts them to typed values and rejects
// invalid ones, [Merge] merges them into an immutable state, and [Publish] stores
// each state in a cell that requests read. The stages of a [Group] stop together.
//
// [Gossip] exchanges the membership state with other entries. [LogFollower] passes on
// the numbered changes of the configuration in order, whether they come from the log
// or from peers, and retains them in a [LogTail] for peers that lag behind.
package control
