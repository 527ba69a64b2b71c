// Package settings translates the settings object that every host is handed into the plain map and the
// names and units that package assign reads.
package settings

import "madderhollow/assign"

// names gives the house's name for a wire setting; "s" marks milliseconds that become seconds.
var names = map[string][2]string{
	"az": {"zone"}, "balancers": {"assigners"}, "rank": {"rank"}, "zones": {"zones"},
	"roundMs":   {"turn.least", "s"},
	"discovery": {"list.mode"}, "weights": {"list.weights"}, "kinds": {"models"},
	"caps.mayProbe": {"may.probe"}, "caps.peers": {"may.tell"},
	"report.via":                  {"load.via"},
	"familyInfo.admission":        {"admission"},
	"familyInfo.bareMs":           {"bare.limit", "s"},
	"familyInfo.bootstrap":        {"standing.size"},
	"familyInfo.choice":           {"pick"},
	"familyInfo.countedOverMs":    {"messages.span", "s"},
	"familyInfo.messagesMost":     {"messages.limit"},
	"familyInfo.perMessage":       {"message.lines"},
	"familyInfo.linesPerS":        {"channel.pace"},
	"familyInfo.pendingMax":       {"channel.limit"},
	"familyInfo.propagationMs":    {"transit.mean", "s"},
	"familyInfo.worstTransitMs":   {"transit.worst", "s"},
	"familyInfo.proxyCount":       {"proxies"},
	"familyInfo.intakePerS":       {"reports.limit"},
	"familyInfo.intervalMs":       {"reports.every", "s"},
	"familyInfo.partitionsN":      {"slices"},
	"familyInfo.oneOwner":         {"slices.oneOwner"},
	"familyInfo.writeLeaseMs":     {"slices.lease", "s"},
	"familyInfo.writeLifeMs":      {"write.life", "s"},
	"familyInfo.usualHow":         {"resend.usual"},
	"familyInfo.tryFactor":        {"resend.factor"},
	"familyInfo.failsToEject":     {"avoid.after"},
	"familyInfo.homedByZone":      {"homed"},
	"obligations.coldFrom":        {"cold.share"},
	"obligations.coldMs":          {"cold.time", "s"},
	"obligations.drainGraceMs":    {"drain.grace", "s"},
	"obligations.fallMs":          {"fall.time", "s"},
	"obligations.tipMultiple":     {"fall.multiple"},
	"obligations.mustAskInMs":     {"list.ask", "s"},
	"obligations.droppedStayOpen": {"gone.open"},
}

// repeats gives the house's words for what may run again.
var repeats = map[string]string{"safe": "replayable", "keyed": "uniqued", "unsafe": "non-replayable"}

// columns gives the house's words for load figures, which the pages write in two ways; unknown ones keep
// their name.
var columns = map[string]string{"load_share": "busy", "concurrent": "held", "mean_ms": "serviceTime",
	"tps": "doneRate", "err_ps": "errorRate", "depth": "waiting", "util": "busy", "inflight": "held",
	"latency_ms": "serviceTime", "qps": "doneRate", "eps": "errorRate", "queue": "waiting"}

// Column gives the house's word for a load figure.
func Column(name string) string {
	if n, ok := columns[name]; ok {
		return n
	}
	return name
}

// Figure gives a load figure of a column in the house's units.
func Figure(column string, x float64) float64 {
	if column == "serviceTime" {
		return x / 1000
	}
	return x
}

// largest bounds a setting's figure. One above it, or below 0, means nothing: it counts as missing, lest the module order
// what no relay takes.
const largest = 1e15

// Translate flattens the wire's object into the plain map that package assign reads. Names not in
// the table keep their dotted path and value.
func Translate(obj map[string]any) assign.Settings {
	s := assign.Settings{}
	flatten(s, "", obj)
	if list, ok := obj["classes"].([]any); ok {
		delete(s, "classes")
		kinds(s, list)
	}
	if list, ok := s["familyInfo.homeOnly"].([]bool); ok {
		s["kind.ownZone"] = list
	}
	if list, ok := s["familyInfo.mutating"].([]bool); ok {
		s["kind.writes"] = list
	}
	if list, ok := s["report.columns"].([]string); ok {
		cols := make([]string, len(list))
		for i, c := range list {
			cols[i] = Column(c)
		}
		s["load.columns"] = cols
	}
	return s
}

func flatten(s assign.Settings, path string, obj map[string]any) {
	for k, v := range obj {
		if sub, ok := v.(map[string]any); ok {
			flatten(s, path+k+".", sub)
			continue
		}
		name := path + k
		scale := 1.0
		if n, ok := names[name]; ok {
			name = n[0]
			if n[1] == "s" {
				scale = 1e-3
			}
		}
		switch x := v.(type) {
		case float64:
			if x >= 0 && x <= largest {
				s[name] = x * scale
			}
		case []any:
			s[name] = plain(x)
		default:
			s[name] = v
		}
	}
}

// plain gives a list of one type its Go type, so that readers need no casts of elements.
func plain(list []any) any {
	var texts []string
	var nums []float64
	var flags []bool
	for _, v := range list {
		switch x := v.(type) {
		case string:
			texts = append(texts, x)
		case float64:
			nums = append(nums, x)
		case bool:
			flags = append(flags, x)
		}
	}
	switch len(list) {
	case len(texts):
		return texts
	case len(nums):
		return nums
	case len(flags):
		return flags
	}
	return list
}

func kinds(s assign.Settings, list []any) {
	n := len(list)
	text := func(o map[string]any, k string) string { v, _ := o[k].(string); return v }
	num := func(o map[string]any, k string) float64 {
		if v, _ := o[k].(float64); v >= 0 && v <= largest {
			return v
		}
		return 0
	}
	name, repeat, group := make([]string, n), make([]string, n), make([]string, n)
	value, target, timeout := make([]float64, n), make([]float64, n), make([]float64, n)
	window, late, zones := make([]float64, n), make([]float64, n), make([][]string, n)
	for i, v := range list {
		o, _ := v.(map[string]any)
		name[i], group[i] = text(o, "name"), text(o, "group")
		if group[i] == "cell" {
			group[i] = "bay"
		}
		repeat[i] = "non-replayable" // of an unknown word nothing may be repeated
		if r, ok := repeats[text(o, "effect")]; ok {
			repeat[i] = r
		}
		value[i], late[i] = num(o, "worth"), num(o, "lateWorth")
		target[i], timeout[i] = num(o, "onTimeMs")/1000, num(o, "deadlineMs")/1000
		window[i] = num(o, "repeatWindowMs") / 1000
		if z, ok := o["onlyZones"].([]any); ok {
			zones[i], _ = plain(z).([]string)
		}
	}
	s["kind.name"], s["kind.repeat"], s["kind.group"], s["kind.zones"] = name, repeat, group, zones
	s["kind.value"], s["kind.lateValue"] = value, late
	s["kind.target"], s["kind.timeout"], s["kind.window"] = target, timeout, window
}
