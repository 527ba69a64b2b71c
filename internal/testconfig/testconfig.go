// Package testconfig provides configurations and settings of small deployments for tests.
package testconfig

import "madderhollow/assign"

// New returns the default configuration with the given zones, number of proxies and names of request classes. The
// other fields of the request classes have their zero values.
func New(zones []string, proxies int, requestClassNames ...string) assign.Config {
	config := assign.DefaultConfig()
	config.Zones = zones
	config.ProxyCount = float64(proxies)
	for _, name := range requestClassNames {
		config.RequestClasses = append(config.RequestClasses, assign.RequestClassConfig{Name: name})
	}
	return config
}
