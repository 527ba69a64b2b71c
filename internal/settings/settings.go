// Package settings translates the settings object that every host of the decision module is handed into assign.Config.
//
// The object's names, units and words are the operators'; they stand here and nowhere else. A member that is missing, of
// another type or out of range counts as missing and leaves the default of assign.DefaultConfig; members that are not
// known are passed over. So a deployment with other settings than ours is still served.
package settings

import (
	"strings"

	"madderhollow/assign"
)

// maxNumber bounds a setting's number. One above it, or below 0, means nothing, and orders made of it could not be
// written.
const maxNumber = 1e15

// Times come in milliseconds and leave in seconds. Members of the table are multiplied and those of request classes
// divided, as ever: the results may differ in the last digit, and that can decide between tables that are equal else.
const (
	secondsPerMillisecond = 1e-3
	millisecondsPerSecond = 1000
)

// The operators' words for enumerated values.
const (
	admissionIgnored       = "off"
	admissionByRatio       = "ratio"
	listOnRequest          = "on_request"
	effectSafeToRetry      = "safe"
	effectIdempotencyKeyed = "keyed"
)

// Translate makes a configuration of a settings object as decoded by encoding/json.
func Translate(object map[string]any) assign.Config {
	config := assign.DefaultConfig()
	config.RequestClasses = requestClasses(object["classes"])
	for _, m := range members(&config) {
		if value, ok := lookUp(object, m.path); ok {
			m.set(value)
		}
	}
	return config
}

// member ties a member of the settings object, by its dotted path, to the field that it sets.
type member struct {
	path string
	set  func(value any)
}

// members is the table of all settings but the request classes': name, field and, by the function, type and unit.
func members(config *assign.Config) []member {
	return []member{
		{"az", text(&config.Zone)},
		{"zones", list(&config.Zones)},
		{"roundMs", milliseconds(&config.MinBatchInterval)},
		{"discovery", listMode(&config.ListMode)},
		{"caps.peers", flag(&config.PeerMessages)},
		{"report.columns", loadMetrics(&config.Reports.LoadMetrics)},
		{"familyInfo.admission", admissionMode(&config.Admission)},
		{"familyInfo.bareMs", milliseconds(&config.MaxTimeWithoutPick)},
		{"familyInfo.countedOverMs", milliseconds(&config.Channel.MessageWindow)},
		{"familyInfo.homeOnly", ownZoneOnly(config.RequestClasses)},
		{"familyInfo.intakePerS", number(&config.Reports.MaxPerSecond)},
		{"familyInfo.intervalMs", milliseconds(&config.Reports.Interval)},
		{"familyInfo.messagesMost", number(&config.Channel.MessageLimit)},
		{"familyInfo.partitionsN", number(&config.Shards)},
		{"familyInfo.pendingMax", number(&config.Channel.QueueLimit)},
		{"familyInfo.perMessage", number(&config.Channel.MessageOverhead)},
		{"familyInfo.propagationMs", milliseconds(&config.Channel.MeanTransit)},
		{"familyInfo.proxyCount", number(&config.ProxyCount)},
		{"familyInfo.usualHow", count(&config.Retries)},
		{"obligations.coldFrom", number(&config.WarmUp.InitialFraction)},
		{"obligations.coldMs", milliseconds(&config.WarmUp.Duration)},
		{"obligations.droppedStayOpen", flag(&config.RemovalIsAdvisory)},
		{"obligations.fallMs", milliseconds(&config.WarmUp.OverloadWindow)},
		{"obligations.tipMultiple", number(&config.WarmUp.OverloadMultiple)},
	}
}

// lookUp finds the member with a dotted path.
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

// requestClasses reads the list of request classes. Whatever a class lacks is empty or 0.
func requestClasses(value any) []assign.RequestClassConfig {
	entries, _ := value.([]any)
	classes := make([]assign.RequestClassConfig, len(entries))
	for i, entry := range entries {
		object, _ := entry.(map[string]any)
		c := &classes[i]
		text(&c.Name)(object["name"])
		text(&c.Group)(object["group"])
		effect, _ := object["effect"].(string)
		c.RetrySafety = retrySafety(effect)
		number(&c.PriorityWeight)(object["worth"])
		number(&c.LatencyObjective)(object["onTimeMs"])
		number(&c.Deadline)(object["deadlineMs"])
		c.LatencyObjective /= millisecondsPerSecond
		c.Deadline /= millisecondsPerSecond
		list(&c.AllowedZones)(object["onlyZones"])
	}
	return classes
}

// retrySafety reads what happens when a request runs twice. With a word that is not known nothing may.
func retrySafety(effect string) assign.RetrySafety {
	switch effect {
	case effectSafeToRetry:
		return assign.SafeToRetry
	case effectIdempotencyKeyed:
		return assign.IdempotencyKey
	}
	return assign.NotIdempotent
}
