package config

import (
	"iter"
	"sync/atomic"

	"github.com/benbjohnson/immutable"
)

// table holds the documents of one kind by name.
//
// It is a persistent map: a changed table shares all tree nodes with the old one
// except those on the paths to the changed names.
type table[T any] struct {
	documents *immutable.SortedMap[string, *T]
	// mapCache caches the result of asMap; goroutines that build it concurrently build equal maps.
	mapCache *atomic.Pointer[map[string]T]
}

func (table table[T]) get(name string) (T, bool) {
	var zero T
	if table.documents == nil {
		return zero, false
	}
	document, ok := table.documents.Get(name)
	if !ok {
		return zero, false
	}
	return *document, true
}

func (table table[T]) len() int {
	if table.documents == nil {
		return 0
	}
	return table.documents.Len()
}

// all iterates over names and documents in name order.
func (table table[T]) all() iter.Seq2[string, T] {
	return func(yield func(string, T) bool) {
		for name, document := range table.pointers() {
			if !yield(name, *document) {
				return
			}
		}
	}
}

// pointers iterates over pointers to the documents in name order. Tables share the
// pointer to a document unless a change has put it, so equal pointers mean an unchanged document.
func (table table[T]) pointers() iter.Seq2[string, *T] {
	return func(yield func(string, *T) bool) {
		if table.documents == nil {
			return
		}
		iterator := table.documents.Iterator()
		for {
			name, document, ok := iterator.Next()
			if !ok || !yield(name, document) {
				return
			}
		}
	}
}

// asMap returns the documents as a Go map, which is built and cached on the first call.
func (table table[T]) asMap() map[string]T {
	if table.mapCache == nil {
		return nil
	}
	if built := table.mapCache.Load(); built != nil {
		return *built
	}
	built := make(map[string]T, table.len())
	for name, document := range table.all() {
		built[name] = document
	}
	table.mapCache.Store(&built)
	return built
}

// with returns the table after the given deletes, followed by the given puts.
func (table table[T]) with(deletes []string, puts []T, name func(T) string) table[T] {
	if len(deletes) == 0 && len(puts) == 0 {
		return table
	}
	documents := table.documents
	if documents == nil {
		documents = immutable.NewSortedMap[string, *T](nil)
	}
	for _, deleted := range deletes {
		documents = documents.Delete(deleted)
	}
	for _, document := range puts {
		documents = documents.Set(name(document), &document)
	}
	return newTable(documents)
}

// withoutMapCache returns the table without its cached map, which is as large as the whole table.
func (table table[T]) withoutMapCache() table[T] {
	if table.documents == nil {
		return table
	}
	return newTable(table.documents)
}

func newTable[T any](documents *immutable.SortedMap[string, *T]) table[T] {
	return table[T]{documents: documents, mapCache: &atomic.Pointer[map[string]T]{}}
}
