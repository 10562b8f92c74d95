package rcu

import "sync/atomic"

// Cell holds one immutable value, which threads read without a lock and replace as a whole.
type Cell[T any] struct {
	pointer atomic.Pointer[T]
}

// New returns a cell that holds value.
func New[T any](value T) *Cell[T] {
	cell := &Cell[T]{}
	cell.pointer.Store(&value)
	return cell
}

// Load returns the current value, which the caller must not change.
func (cell *Cell[T]) Load() T {
	return *cell.pointer.Load()
}

// Store replaces the value unconditionally.
func (cell *Cell[T]) Store(value T) {
	cell.pointer.Store(&value)
}

// Swap replaces the value unconditionally and returns the previous one.
func (cell *Cell[T]) Swap(value T) T {
	return *cell.pointer.Swap(&value)
}

// Update replaces the value by change(value) and returns the stored value.
//
// The function change may run several times when writers race, so it must be pure.
func (cell *Cell[T]) Update(change func(T) T) T {
	next, _ := Apply(cell, func(value T) (T, struct{}) { return change(value), struct{}{} })
	return next
}

// Apply replaces the value by the first result of change and returns both results.
//
// The second result is that of the run of change whose value was stored, such as a decision that was
// made together with the next state. The function change may run several times when writers race, so
// it must be pure.
func Apply[T, R any](cell *Cell[T], change func(T) (T, R)) (T, R) {
	for {
		current := cell.pointer.Load()
		next, result := change(*current)
		if cell.pointer.CompareAndSwap(current, &next) {
			return next, result
		}
	}
}
