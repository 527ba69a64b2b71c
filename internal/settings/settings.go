// Package settings translates a deployment's settings object into assign.Config. Both hosts of the decision module use it.
//
// The names, units and words of the settings object are mapped in mappings.go and used nowhere else. A setting that is missing,
// of another type or out of range leaves the default of assign.DefaultConfig, and unknown ones are ignored, so that any
// deployment's settings can be used. All functions are pure and may be called by any goroutine.
package settings

import (
	"strings"

	"madderhollow/assign"
)

// Translate returns the configuration for a settings object as decoded by encoding/json.
func Translate(object map[string]any) assign.Config {
	config := assign.DefaultConfig()
	config.RequestClasses = requestClasses(object[requestClassesSetting])
	apply(object, configMappings(&config))
	return config
}

// requestClasses translates the list of request classes. What a class does not state is empty or 0.
func requestClasses(value any) []assign.RequestClassConfig {
	entries, _ := value.([]any)
	classes := make([]assign.RequestClassConfig, len(entries))
	for i, entry := range entries {
		object, _ := entry.(map[string]any)
		apply(object, classMappings(&classes[i]))
	}
	return classes
}

// apply sets the fields of the settings that the object has.
func apply(object map[string]any, mappings []mapping) {
	for _, m := range mappings {
		if value, ok := lookUp(object, m.path); ok {
			m.set(value)
		}
	}
}

// lookUp returns the setting at a dotted path.
func lookUp(object map[string]any, path string) (any, bool) {
	for {
		name, rest, nested := strings.Cut(path, ".")
		value, ok := object[name]
		if !nested {
			return value, ok
		}
		if object, ok = value.(map[string]any); !ok {
			return nil, false
		}
		path = rest
	}
}
