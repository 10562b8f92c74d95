//go:build review

package main

// The host of all routes, the key of the client account, and the prefixes of the routes.
const (
	host        = "ficu95.example"
	key         = "i9n73hh2b9wu3fexd9dn"
	draftPrefix = "/pufi791/"
	orderPrefix = "/puxa403/"
	stockPrefix = "/cufi504/"
	engineName  = "huvo11a"
	plainName   = "wuno96b"
)

// smallConfiguration is a configuration like those of the small sites: a resumable stream, an order and a look-up.
func smallConfiguration() map[string]any {
	return map[string]any{
		"Version": 7,
		"Routes": []any{
			map[string]any{
				"Name": "r-28m82th", "Hostname": host, "Prefix": draftPrefix, "RouteType": "streaming", "TimeoutMs": 4000, "TargetLatencyMs": 500,
				"Priority": 0, "Service": engineName, "Attempts": 2, "Public": false, "SessionAffinity": true, "StreamResume": true, "GapAimMs": 250,
			},
			map[string]any{
				"Name": "r-order", "Hostname": host, "Prefix": orderPrefix, "RouteType": "non_idempotent", "TimeoutMs": 1000, "TargetLatencyMs": 150,
				"Priority": 2, "Service": plainName, "Attempts": 1, "Public": false,
			},
			map[string]any{
				"Name": "r-stock", "Hostname": host, "Prefix": stockPrefix, "RouteType": "idempotent", "TimeoutMs": 1000, "TargetLatencyMs": 150,
				"Priority": 2, "Service": plainName, "Attempts": 2, "Public": false,
			},
		},
		"Services": []any{
			map[string]any{
				"Name": engineName, "HealthPath": "/healthz", "MaxConnections": 370, "Protocol": "h1", "Tls": false,
				"Engine": map[string]any{"Slots": 64, "KvCapacityTokens": 448444},
			},
			map[string]any{"Name": plainName, "HealthPath": "/healthz", "MaxConnections": 110, "Protocol": "h1", "Tls": false},
		},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{
			"Name": "hule930", "ApiKeys": []string{key}, "Priority": 1, "Unit": "tokens", "PlainTokens": 200, "RatePerS": 351012, "Burst": 351012,
		}},
	}
}

// smallBounds are the bounds of the site dulang-takziah.
func smallBounds() map[string]any {
	return map[string]any{
		"SeedLagS": 3, "AddrReuseS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4, "DrainMs": 2000, "GraceS": 8, "LostMs": 200,
		"ConfigApplyMs": 2000, "DowngradeMs": 250, "OuterMs": 5000, "StrictRevoke": true, "RevokeMs": 5000, "RetryBudgetRatio": 0.2,
		"BudgetWindowS": 10, "BudgetSlack": 58, "QuotaWindowS": 8, "QuotaOver": 0.1, "QuotaSlack": 110000, "EnforceFencing": true,
		"LeaseMs": 3000, "ThawMs": 300, "UsageWindowS": 5, "UsageTolerance": 0.05, "UsageLateS": 10, "RecoverS": 12, "PassMs": 120, "RetryAfterS": 9.3,
	}
}

// grownBounds are the bounds of the site dulang-takziah-grown.
func grownBounds() map[string]any {
	bounds := smallBounds()
	for name, value := range map[string]any{
		"ContactMs": 4000, "AckMs": 6000, "CatchUpS": 6, "DrainMs": 3000, "ConfigApplyMs": 3000, "OuterMs": 6000, "BudgetSlack": 178,
		"RecoverS": 15, "PassMs": 200,
	} {
		bounds[name] = value
	}
	return bounds
}
