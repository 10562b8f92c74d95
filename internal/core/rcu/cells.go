package rcu

import "maps"

// Cells holds one cell for each key; a cell is made when its key is first asked for.
//
// Readers find the cell of a known key without a lock.
type Cells[K comparable, V any] struct {
	cells *Cell[map[K]*Cell[V]]
}

// NewCells returns cells for no key.
func NewCells[K comparable, V any]() Cells[K, V] {
	return Cells[K, V]{cells: New(map[K]*Cell[V]{})}
}

// Of returns the cell of a key, which holds first if it is new.
func (cells Cells[K, V]) Of(key K, first V) *Cell[V] {
	if cell, ok := cells.cells.Load()[key]; ok {
		return cell
	}
	fresh := New(first)
	return cells.cells.Update(func(current map[K]*Cell[V]) map[K]*Cell[V] {
		if _, ok := current[key]; ok {
			return current
		}
		next := maps.Clone(current)
		next[key] = fresh
		return next
	})[key]
}

// All returns the cells by key, which the caller must not change.
func (cells Cells[K, V]) All() map[K]*Cell[V] { return cells.cells.Load() }

// Drop removes the cells for which drop returns true.
func (cells Cells[K, V]) Drop(drop func(key K, value V) bool) {
	cells.cells.Update(func(current map[K]*Cell[V]) map[K]*Cell[V] {
		next := maps.Clone(current)
		maps.DeleteFunc(next, func(key K, cell *Cell[V]) bool { return drop(key, cell.Load()) })
		return next
	})
}
