package rcu

import "maps"

// Cells is a map from keys to cells, which creates a cell at the first use of its key.
//
// Looking up the cell of a key that has one takes no lock.
type Cells[K comparable, V any] struct {
	cells *Cell[map[K]*Cell[V]]
}

// NewCells returns a map without cells.
func NewCells[K comparable, V any]() Cells[K, V] {
	return Cells[K, V]{cells: New(map[K]*Cell[V]{})}
}

// GetOrCreate returns the cell of a key, and creates it with the value initial if the key has none.
func (cells Cells[K, V]) GetOrCreate(key K, initial V) *Cell[V] {
	if cell, ok := cells.cells.Load()[key]; ok {
		return cell
	}
	created := New(initial)
	return cells.cells.Update(func(current map[K]*Cell[V]) map[K]*Cell[V] {
		if _, ok := current[key]; ok {
			return current
		}
		next := maps.Clone(current)
		next[key] = created
		return next
	})[key]
}

// All returns the cells by key; the caller must not change the map.
func (cells Cells[K, V]) All() map[K]*Cell[V] { return cells.cells.Load() }

// Drop removes the cells for which drop returns true. It copies nothing if there are none.
func (cells Cells[K, V]) Drop(drop func(key K, value V) bool) {
	cells.cells.Update(func(current map[K]*Cell[V]) map[K]*Cell[V] {
		for key, cell := range current {
			if drop(key, cell.Load()) {
				next := maps.Clone(current)
				maps.DeleteFunc(next, func(key K, cell *Cell[V]) bool { return drop(key, cell.Load()) })
				return next
			}
		}
		return current
	})
}
