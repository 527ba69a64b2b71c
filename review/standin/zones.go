package main

import (
	"fmt"
	"time"
)

// fourZones sets up a small deployment of four zones and returns its settings.
func (r *run) fourZones(servers, proxies int, issueZones []string) map[string]any {
	r.zones = []string{"za", "zb", "zc", "zd"}
	r.classes = []class{{name: "read", rate: 8}, {name: "upload", rate: 5}, {name: "issue", rate: 3, onlyZones: issueZones}}
	r.linesPerS, r.perMessage = 1400, 6
	r.meanTransit, r.worstTransit = 200*time.Millisecond, 500*time.Millisecond
	for i := range servers {
		r.list = append(r.list, task{Name: fmt.Sprintf("s-%02d", i), Address: fmt.Sprintf("127.0.0.1:%d", 9000+i),
			Zone: r.zones[i%4], Type: "m", Group: i / 8, Status: "active", Weight: 1, version: r.version})
	}
	return map[string]any{
		"az": "za", "balancers": 1, "rank": 0, "zones": r.zones, "kinds": []string{"m"}, "discovery": "pushed", "weights": "nominal",
		"roundMs": 2.0, "worthBy": "request", "domainType": "control",
		"caps":   map[string]any{"mayProbe": false, "peers": false},
		"report": map[string]any{"columns": []string{"load_share", "concurrent", "mean_ms"}, "via": "inline"},
		"classes": []map[string]any{
			{"name": "read", "effect": "safe", "group": "all", "worth": 2.0, "lateWorth": 0.2, "onTimeMs": 2000.0, "deadlineMs": 6000.0},
			{"name": "upload", "effect": "keyed", "group": "cell", "worth": 5.0, "lateWorth": 0.2, "onTimeMs": 1000.0, "deadlineMs": 2500.0},
			{"name": "issue", "effect": "unsafe", "group": "all", "worth": 5.0, "lateWorth": 0.1, "onTimeMs": 2000.0, "deadlineMs": 6000.0, "onlyZones": r.classes[2].onlyZones},
		},
		"familyInfo": map[string]any{"admission": "rps", "bareMs": 6000.0, "bootstrap": 5, "choice": "wheel", "countedOverMs": 10000.0,
			"failsToEject": 5, "homeOnly": []bool{false, false, false}, "homedByZone": true, "intakePerS": 120.0, "intervalMs": 1000.0,
			"linesPerS": r.linesPerS, "messagesMost": 0, "mutating": []bool{false, true, true}, "oneOwner": false, "partitionsN": 0,
			"pendingMax": 1.5 * r.linesPerS, "perMessage": r.perMessage, "propagationMs": 200.0, "proxyCount": proxies, "tryFactor": 1.0,
			"usualHow": 1, "worstTransitMs": 500.0},
		"obligations": map[string]any{"coldFrom": 0.26, "coldMs": 12000.0, "drainGraceMs": 2000.0, "fallMs": 3000.0,
			"mustAskInMs": 10000.0, "tipMultiple": 4.0},
	}
}

// changeZone gives all servers of a zone a status and a start time, as one version of the list. mu must be held.
func (r *run) changeZone(zone, status string, since float64) {
	entries := []task{}
	for _, t := range r.list {
		if t.Zone == zone {
			t.Status = status
			if since > 0 {
				t.SinceMs = since
			}
			entries = append(entries, t)
		}
	}
	r.change(entries...)
}

// drainAndCheck drains a server, watches the proxies for a while and ends the assigner. A request that a joined proxy
// sends to the server later than the limit after the assigner was told breaks the rule on drains. The server ends a second
// after the limit, and is then listed as gone.
func (r *run) drainAndCheck(a *assigner, drained string, limit, watch time.Duration) int {
	late, inTime := map[int]int{}, 0
	last := time.Duration(0)
	r.locked(func() {
		r.sends = func(x *proxy, c, name string, now time.Time) {
			at := r.told[drained+" leaving"]
			if name != drained || !x.joined || at.IsZero() {
				return
			}
			// The clock starts at the proxy's joining, if that is later.
			if x.joinedAt.After(at) {
				at = x.joinedAt
			}
			verdict := "in time"
			if now.Sub(at) > limit {
				verdict = "LATE"
				late[x.id]++
				last = now.Sub(at)
			} else {
				inTime++
			}
			r.log("  ^ %.2f s after the assigner was told that %s drains: %s", now.Sub(at).Seconds(), name, verdict)
		}
		e := r.entry(drained)
		e.Status = "leaving"
		r.change(e)
	})
	time.Sleep(limit + time.Second)
	r.locked(func() {
		r.log("%s ends", drained)
		r.ended[drained] = true
	})
	time.Sleep(time.Second)
	r.locked(func() {
		e := r.entry(drained)
		e.Status = "left"
		r.change(e)
	})
	time.Sleep(watch)
	told := false
	r.locked(func() { told, r.sends = !r.told[drained+" leaving"].IsZero(), nil })
	if !a.stop() {
		r.locked(func() { r.log("the assigner has ended by itself") })
		return couldNotRun
	}
	if !told {
		r.locked(func() { r.log("the drain was never told") })
		return couldNotRun
	}
	sum := 0
	for _, n := range late {
		sum += n
	}
	r.locked(func() {
		r.log("%d calls, %d news connections; %d requests to %s in time; %d requests of %d proxies later than %v, the last after %.1f s; %d lost",
			r.calls, r.newsOpened, inTime, drained, sum, len(late), limit, last.Seconds(), r.lost)
	})
	fmt.Printf("requests to the draining server after the grace: %d, from %d of %d proxies, the last after %.1f s; lost: %d\n",
		sum, len(late), len(r.proxies), last.Seconds(), r.lost)
	if sum > 0 {
		return broken
	}
	return held
}
