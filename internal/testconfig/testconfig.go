// Package testconfig makes configurations for tests.
package testconfig

import "madderhollow/assign"

// New makes a configuration with these zones, so many proxies and request classes of these names, and defaults else.
func New(zones []string, proxies int, classNames ...string) assign.Config {
	config := assign.DefaultConfig()
	config.Zones = zones
	config.ProxyCount = float64(proxies)
	for _, name := range classNames {
		config.RequestClasses = append(config.RequestClasses, assign.RequestClassConfig{Name: name})
	}
	return config
}
