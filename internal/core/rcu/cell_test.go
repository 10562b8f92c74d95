package rcu_test

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
)

// Guards against updates lost when several threads write at once.
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

// Guards against a verdict that belongs to a state which was not stored.
func TestApplyReturnsTheVerdictOfTheStoredState(t *testing.T) {
	cell := rcu.New(0)
	var group sync.WaitGroup
	verdicts := make(chan int, 100)
	for range 100 {
		group.Go(func() {
			_, ticket := rcu.Apply(cell, func(count int) (int, int) { return count + 1, count })
			verdicts <- ticket
		})
	}
	group.Wait()
	close(verdicts)
	seen := map[int]bool{}
	for ticket := range verdicts {
		assert.False(t, seen[ticket], "ticket %d handed out twice", ticket)
		seen[ticket] = true
	}
}
