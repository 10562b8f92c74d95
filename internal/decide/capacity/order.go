package capacity

// Order requests that a service have a number of servers of one kind in a failure domain.
type Order struct {
	Service string
	Domain  string
	// Count is the total number of servers to have, not the number to add.
	Count int
	// Reclaimable selects reclaimable servers, which cost less and may be taken back by the provider.
	Reclaimable bool
}
