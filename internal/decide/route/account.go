package route

// Account is a client account with its access keys, priority and limit.
type Account struct {
	Name string
	Keys []string
	// HasPriority reports that Priority overrides the priority of the route.
	HasPriority bool
	Priority    int
	Limit       Limit
}

// Limit is the rate limit of a client account over all entries together.
type Limit struct {
	// PerSecond is the rate, 0 for no limit; Burst is the amount that may be used at once.
	PerSecond float64
	Burst     float64
	// CountsTokens reports that the limit counts tokens instead of requests.
	CountsTokens bool
	// DefaultTokens is the number of tokens counted for a request that does not state any.
	DefaultTokens int
}

// Unlimited reports whether the account has no limit.
func (limit Limit) Unlimited() bool { return limit.PerSecond <= 0 }
