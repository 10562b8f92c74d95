package rcu_test

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
)

// Guards against losing updates when several threads write concurrently.
func TestUpdateLosesNoWrite(t *testing.T) {
	const writers, updates = 8, 1000
	cell := rcu.New(0)
	var group sync.WaitGroup
	for range writers {
		group.Go(func() {
			for range updates {
				cell.Update(func(count int) int { return count + 1 })
			}
		})
	}
	group.Wait()
	assert.Equal(t, writers*updates, cell.Load())
}

// Guards against returning the result of a run of the function whose value was not stored.
func TestApplyReturnsTheResultOfTheStoredValue(t *testing.T) {
	cell := rcu.New(0)
	var group sync.WaitGroup
	tickets := make(chan int, 100)
	for range 100 {
		group.Go(func() {
			_, ticket := rcu.Apply(cell, func(count int) (int, int) { return count + 1, count })
			tickets <- ticket
		})
	}
	group.Wait()
	close(tickets)
	returned := map[int]bool{}
	for ticket := range tickets {
		assert.False(t, returned[ticket], "ticket %d returned twice", ticket)
		returned[ticket] = true
	}
}
