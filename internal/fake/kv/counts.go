package kv

import "maps"

// Kind is the kind of a call to the service.
type Kind string

// The kinds of calls. The client writes with transactions, which count here whether or not they succeed.
const (
	KindRange     Kind = "Range"
	KindPut       Kind = "Put"
	KindDelete    Kind = "Delete"
	KindTxn       Kind = "Txn"
	KindGrant     Kind = "Grant"
	KindKeepAlive Kind = "KeepAlive"
	KindRevoke    Kind = "Revoke"
	KindWatch     Kind = "Watch"
)

// Kinds lists all kinds of calls.
var Kinds = []Kind{KindRange, KindPut, KindDelete, KindTxn, KindGrant, KindKeepAlive, KindRevoke, KindWatch}

// Counts is the number of calls of each kind.
type Counts map[Kind]int64

// With returns the counts after one more call of a kind.
func (counts Counts) With(kind Kind) Counts {
	next := maps.Clone(counts)
	if next == nil {
		next = Counts{}
	}
	next[kind]++
	return next
}

// Since returns the number of calls of each kind that arrived after earlier was read.
func (counts Counts) Since(earlier Counts) Counts {
	increase := Counts{}
	for kind, count := range counts {
		if count > earlier[kind] {
			increase[kind] = count - earlier[kind]
		}
	}
	return increase
}

// Counts returns how many calls of each kind have arrived. A watch counts once, when it is opened.
func (server *Server) Counts() Counts { return server.counts.Load() }

// count adds a call of a kind to [Server.Calls] and [Server.Counts].
func (server *Server) count(kind Kind) {
	server.calls.Add(1)
	server.counts.Update(func(counts Counts) Counts { return counts.With(kind) })
}
