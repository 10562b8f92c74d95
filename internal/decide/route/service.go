package route

import "time"

// Service is a group of backend servers that answer the same calls.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// Engine is what model engines have; zero for plain services.
	Engine Engine
	// Scaling is how many servers may be ordered; zero where none can.
	Scaling Scaling
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots       int
	CacheTokens int
}

// IsEngine reports whether the servers are model engines.
func (service Service) IsEngine() bool { return service.Engine.Slots > 0 }

// Scaling bounds the servers of a service in each failure domain.
type Scaling struct {
	MinServers int
	MaxServers int
	// BootTime is the time until a new server takes work.
	BootTime time.Duration
	// ReclaimablePrice is the price of a reclaimable server in relation to another.
	ReclaimablePrice float64
	// DomainPrices are the prices of a server by failure domain.
	DomainPrices map[string]float64
}

// Possible reports whether servers can be ordered.
func (scaling Scaling) Possible() bool { return scaling.MaxServers > 0 }
