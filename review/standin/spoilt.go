package main

import (
	"fmt"
	"time"
)

// spoiltCase: some reports arrive spoilt, with one field out of range. The check: the assigner does not crash.
func spoiltCase(r *run) int {
	const proxies = 9
	r.zones = []string{"za", "zb", "zc"}
	r.classes = []class{{name: "series", rate: 6}, {name: "summary", rate: 5}, {name: "issue", rate: 4}}
	r.linesPerS, r.perMessage = 16000, 10
	r.meanTransit, r.worstTransit = 300*time.Millisecond, 740*time.Millisecond
	for i := range 18 {
		r.list = append(r.list, task{Name: fmt.Sprintf("s-%02d", i), Address: fmt.Sprintf("127.0.0.1:%d", 9000+i),
			Zone: r.zones[i%3], Type: "m", Group: i / 8, Status: "active", Weight: 1, version: r.version})
	}
	settings := map[string]any{
		"az": "za", "balancers": 1, "rank": 0, "zones": r.zones, "kinds": []string{"m"}, "discovery": "pushed", "weights": "nominal",
		"roundMs": 2.0, "worthBy": "request", "domainType": "control",
		"caps":   map[string]any{"mayProbe": false, "peers": false},
		"report": map[string]any{"columns": []string{"load_share", "tps"}, "via": "inline"},
		"classes": []map[string]any{
			{"name": "series", "effect": "safe", "group": "all", "worth": 3.0, "lateWorth": 0.2, "onTimeMs": 1000.0, "deadlineMs": 3000.0},
			{"name": "summary", "effect": "safe", "group": "all", "worth": 2.0, "lateWorth": 0.2, "onTimeMs": 800.0, "deadlineMs": 2000.0},
			{"name": "issue", "effect": "unsafe", "group": "all", "worth": 5.0, "lateWorth": 0.1, "onTimeMs": 1200.0, "deadlineMs": 4000.0},
		},
		"familyInfo": map[string]any{"admission": "rps", "bareMs": 6000.0, "bootstrap": 12, "choice": "wheel", "countedOverMs": 10000.0,
			"failsToEject": 5, "homeOnly": []bool{false, false, false}, "homedByZone": true, "intakePerS": 400.0, "intervalMs": 500.0,
			"linesPerS": r.linesPerS, "messagesMost": 20, "mutating": []bool{false, false, true}, "oneOwner": false, "partitionsN": 0,
			"pendingMax": 2 * r.linesPerS, "perMessage": r.perMessage, "propagationMs": 300.0, "proxyCount": proxies, "tryFactor": 1.0,
			"usualHow": 0, "worstTransitMs": 740.0},
		"obligations": map[string]any{"coldFrom": 0.2, "coldMs": 16000.0, "drainGraceMs": 3000.0, "fallMs": 3000.0,
			"mustAskInMs": 10000.0, "tipMultiple": 2.5},
	}
	r.load = func(name string, _ float64) (float64, float64) {
		if r.entry(name).Zone == "za" {
			return 0.84, 180
		}
		return 0.6, 150
	}
	a := startAssigner(r.platform, r.root, r.folder, settings)
	r.locked(func() {
		for i := range proxies {
			x := r.addProxy(r.zones[i%3], 15, r.draw(r.zones[i%3], 12))
			x.cold = false
			r.join(x)
		}
	})
	r.startTraffic()
	go r.collect(a.listen, 500*time.Millisecond, map[string]float64{"load_share": 0.4, "tps": 8}, r.done)
	time.Sleep(10 * time.Second)
	if r.trouble {
		spoilt := []string{
			`{"@type":"usage","node":4,"route":"series","total":3,"errors":0,"interval":-500}`,
			`{"@type":"usage","node":70000,"route":"issue","total":2,"errors":0,"interval":500}`,
			`{"@type":"usage","node":1,"route":"summary","total":2,"errors":0,"interval":1e+308}`,
			`{"@type":"usage","node":7,"route":"series","total":3,"errors":0,"interval":1e-310}`,
		}
		for _, line := range spoilt {
			r.locked(func() { r.extra["zb"] = line + "\n" })
			time.Sleep(time.Second)
		}
	}
	for range 20 {
		time.Sleep(time.Second)
		if err := ping(a.listen); err != nil {
			r.locked(func() { r.log("the assigner answers no ping: %v", err) })
			break
		}
	}
	if !a.stop() {
		fmt.Println("the assigner ended by itself:", a.cmd.ProcessState)
		r.locked(func() { r.log("the assigner ended by itself: %v", a.cmd.ProcessState) })
		return broken
	}
	fmt.Println("the assigner answered pings until the end")
	return held
}
