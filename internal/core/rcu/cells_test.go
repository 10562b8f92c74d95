package rcu_test

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
)

// Guards against creating two cells for one key concurrently, which loses the writes to one of them.
func TestCellsHaveOneCellForEachKey(t *testing.T) {
	const threads, keys, rounds = 8, 5, 200
	cells := rcu.NewCells[int, int]()
	var group sync.WaitGroup
	for range threads {
		group.Go(func() {
			for round := range rounds {
				cells.GetOrCreate(round%keys, 0).Update(func(count int) int { return count + 1 })
			}
		})
	}
	group.Wait()
	sum := 0
	for _, cell := range cells.All() {
		sum += cell.Load()
	}
	assert.Equal(t, threads*rounds, sum)
	cells.Drop(func(key, _ int) bool { return key > 0 })
	assert.Len(t, cells.All(), 1)
}
