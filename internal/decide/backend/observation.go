package backend

// Observation is what one entry has seen of one backend server.
type Observation struct {
	// InFlight is the number of this entry's requests that the server is running.
	InFlight int
}

// WithStart returns the observation after a request was sent.
func (observation Observation) WithStart() Observation {
	observation.InFlight++
	return observation
}

// WithEnd returns the observation after a request ended.
func (observation Observation) WithEnd() Observation {
	observation.InFlight--
	return observation
}
