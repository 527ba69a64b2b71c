package testconfig

// Settings returns the settings object of a small deployment with three zones, six proxies and two request classes.
// Its keys and units are those of the settings in a configuration file. Package settings maps the keys to the terms
// of this program.
func Settings() map[string]any {
	return map[string]any{
		"az": "x", "zones": []string{"x", "y", "z"}, "balancers": 1, "rank": 0, "kinds": []string{"m"},
		"discovery": "pushed", "weights": "nominal", "roundMs": 2.0, "worthBy": "request", "domainType": "control",
		"caps":   map[string]any{"mayProbe": false, "peers": true},
		"report": map[string]any{"columns": []string{"load_share"}, "via": "inline"},
		"classes": []map[string]any{
			{"name": "read", "effect": "safe", "group": "all", "worth": 1.0, "lateWorth": 0.2, "onTimeMs": 1000.0, "deadlineMs": 3000.0},
			{"name": "sign", "effect": "unsafe", "group": "all", "worth": 5.0, "lateWorth": 0.1, "onTimeMs": 1000.0, "deadlineMs": 3000.0},
		},
		"familyInfo": map[string]any{
			"admission": "rps", "bareMs": 6000.0, "bootstrap": 12, "choice": "wheel", "countedOverMs": 10000.0,
			"failsToEject": 5, "homeOnly": []bool{false, false}, "homedByZone": true, "intakePerS": 400.0, "intervalMs": 1000.0,
			"linesPerS": 15000.0, "messagesMost": 20, "mutating": []bool{false, true}, "oneOwner": false, "partitionsN": 0,
			"pendingMax": 30000.0, "perMessage": 10.0, "propagationMs": 100.0, "proxyCount": 6, "tryFactor": 1.0, "usualHow": 1,
			"worstTransitMs": 300.0,
		},
		"obligations": map[string]any{
			"coldFrom": 0.2, "coldMs": 15000.0, "drainGraceMs": 3000.0, "fallMs": 3000.0, "mustAskInMs": 10000.0,
			"tipMultiple": 2.5,
		},
	}
}
