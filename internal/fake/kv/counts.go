package kv

import "maps"

// Kind names a call by what it asks for.
type Kind string

// The kinds of calls. A transaction is how the client writes, with or without success.
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

// Kinds lists all kinds.
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

// Since returns the calls that came after an earlier look.
func (counts Counts) Since(earlier Counts) Counts {
	next := Counts{}
	for kind, count := range counts {
		if count > earlier[kind] {
			next[kind] = count - earlier[kind]
		}
	}
	return next
}

// Counts returns how many calls of each kind arrived, a watch counting as one.
func (service *Server) Counts() Counts { return service.counts.Load() }

// count records a call.
func (service *Server) count(kind Kind) {
	service.calls.Add(1)
	service.counts.Update(func(counts Counts) Counts { return counts.With(kind) })
}
