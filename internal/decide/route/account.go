package route

// Account is a client account with its limit.
type Account struct {
	Name string
	Keys []string
	// Ranked reports that Priority goes before the priority of the route.
	Ranked   bool
	Priority int
	Limit    Limit
}

// Limit is a client account's limit over all entries together.
type Limit struct {
	// PerSecond is the rate and Burst what may come at once; no rate means no limit.
	PerSecond float64
	Burst     float64
	// CountsTokens reports that tokens are counted and not requests.
	CountsTokens bool
	// DefaultTokens is what a request counts that states no tokens.
	DefaultTokens int
}

// Unlimited reports whether the account has no limit.
func (limit Limit) Unlimited() bool { return limit.PerSecond <= 0 }
