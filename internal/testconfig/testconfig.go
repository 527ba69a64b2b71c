// Package testconfig provides configurations for tests.
package testconfig

import "madderhollow/assign"

// New returns the default configuration with zones, a number of proxies and request classes with default fields.
func New(zones []string, proxies int, classNames ...string) assign.Config {
	config := assign.DefaultConfig()
	config.Zones = zones
	config.ProxyCount = float64(proxies)
	for _, name := range classNames {
		config.RequestClasses = append(config.RequestClasses, assign.RequestClassConfig{Name: name})
	}
	return config
}
