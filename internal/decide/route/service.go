package route

import "time"

// Service is a group of interchangeable backend servers.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// Engine describes the model engines; zero for plain services.
	Engine Engine
	// Scaling limits the servers that may be ordered; zero if none may be ordered.
	Scaling Scaling
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// CacheTokens is the capacity of an engine's KV cache in tokens.
	CacheTokens int
}

// IsEngine reports whether the servers are model engines.
func (service Service) IsEngine() bool { return service.Engine.Slots > 0 }

// Scaling limits the number of servers of a service in each failure domain.
type Scaling struct {
	MinServers int
	MaxServers int
	// BootTime is the time from the order of a server until it accepts requests.
	BootTime time.Duration
	// ReclaimablePrice is the price of a reclaimable server relative to an on-demand one.
	ReclaimablePrice float64
	// DomainPrices is the price of a server by failure domain.
	DomainPrices map[string]float64
}

// Possible reports whether servers may be ordered.
func (scaling Scaling) Possible() bool { return scaling.MaxServers > 0 }
