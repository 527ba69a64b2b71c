// Package settings translates a deployment's settings object into assign.Config. It is used by the daemon and the
// simulator adapter, the two programs that run the decision module (package assign).
//
// The names, units and enumerated values of the settings object are mapped in mappings.go and used nowhere else. A
// setting that is missing, has another type or is out of range leaves the default of assign.DefaultConfig. Unknown
// settings are ignored. Therefore the settings of any deployment can be used.
//
// All functions are pure and may be called by any goroutine.
package settings

import (
	"strings"

	"madderhollow/assign"
)

// Translate returns the configuration for a settings object that was decoded by encoding/json. It never fails: an
// invalid setting leaves the default of assign.DefaultConfig.
func Translate(object map[string]any) assign.Config {
	config := assign.DefaultConfig()
	config.RequestClasses = requestClasses(object[requestClassesKey])
	applyMappings(object, configMappings(&config))
	return config
}

// requestClasses translates the list of request classes. A field of a request class whose setting is missing or invalid
// keeps its zero value.
func requestClasses(value any) []assign.RequestClassConfig {
	entries, _ := value.([]any)
	classes := make([]assign.RequestClassConfig, len(entries))
	for i, entry := range entries {
		object, _ := entry.(map[string]any)
		applyMappings(object, requestClassMappings(&classes[i]))
	}
	return classes
}

// applyMappings calls the setter of each mapping whose setting is present in the object.
func applyMappings(object map[string]any, mappings []settingMapping) {
	for _, m := range mappings {
		if value, ok := lookUpSetting(object, m.path); ok {
			m.set(value)
		}
	}
}

// lookUpSetting returns the value of the setting at a path of keys separated by dots, and reports whether the setting
// is present.
func lookUpSetting(object map[string]any, path string) (any, bool) {
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
