package booking

import "maps"

// attempts is the set of this process's attempts that may still be sent, are being
// sent, or have a result that is not committed yet.
//
// An attempt that has not been sent leaves the set only when its goroutine
// abandons it, so a committed intent of this process whose attempt is not in the
// set was never sent.
type attempts struct {
	open map[string]struct{}
}

func (attempts attempts) has(attempt string) bool {
	_, ok := attempts.open[attempt]
	return ok
}

func (attempts attempts) withOpen(attempt string) attempts {
	attempts.open = maps.Clone(attempts.open)
	if attempts.open == nil {
		attempts.open = map[string]struct{}{}
	}
	attempts.open[attempt] = struct{}{}
	return attempts
}

func (attempts attempts) withoutOpen(attempt string) attempts {
	attempts.open = maps.Clone(attempts.open)
	delete(attempts.open, attempt)
	return attempts
}

func (ledger *Ledger) openAttempt(attempt string) {
	ledger.attempts.Update(func(current attempts) attempts { return current.withOpen(attempt) })
}

func (ledger *Ledger) closeAttempt(attempt string) {
	ledger.attempts.Update(func(current attempts) attempts { return current.withoutOpen(attempt) })
}

// isUnsent reports whether an attempt of this process is not in the set, which
// means for an attempt with a committed intent that the order was never sent.
func (ledger *Ledger) isUnsent(attempt string) bool { return !ledger.attempts.Load().has(attempt) }
