package capacity

// Order asks for a number of servers of one kind.
type Order struct {
	Service string
	Domain  string
	// Count is the number of servers of that kind in the failure domain.
	Count int
	// Reclaimable servers cost less and may be taken back.
	Reclaimable bool
}
