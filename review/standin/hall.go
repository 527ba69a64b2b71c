package main

import "time"

// hallCase: one zone loses its servers and proxies for ten seconds. Its proxies start again while the list holds no
// server of the zone, so that their standing tables hold servers of other zones, and reach the assigner 14 s later. Then
// a server of another zone is drained. The check: no joined proxy sends to it later than the grace and the 300 ms of
// the protocol page.
func hallCase(r *run) int {
	const (
		grace   = 2000 * time.Millisecond
		slack   = 300 * time.Millisecond
		proxies = 12
		lost    = "zb"
	)
	settings := r.fourZones(24, proxies, nil)
	a := startAssigner(r.platform, r.root, r.folder, settings)
	r.locked(func() {
		for i := range proxies {
			x := r.addProxy(r.zones[i%4], 16, r.draw(r.zones[i%4], 5))
			r.join(x)
		}
	})
	r.startTraffic()
	go r.collect(a.listen, time.Second, map[string]float64{"load_share": 0.4, "concurrent": 2, "mean_ms": 40}, r.done)
	time.Sleep(5 * time.Second)
	if r.trouble {
		r.locked(func() {
			r.log("trouble: zone %s loses its servers and proxies", lost)
			for _, x := range r.proxies {
				if x.zone == lost {
					r.leave(x)
					x.dead = true
				}
			}
		})
		time.Sleep(1500 * time.Millisecond)
		r.locked(func() { r.changeZone(lost, "left", 0) })
		time.Sleep(8500 * time.Millisecond)
		back := time.Now()
		r.locked(func() {
			r.log("the servers and proxies of zone %s start again; its proxies reach no assigner for 14 s", lost)
			for _, x := range r.proxies {
				if x.zone == lost {
					r.restart(x, r.draw(lost, 5))
					r.log("proxy %d: standing table %v", x.id, x.standing)
				}
			}
		})
		time.Sleep(time.Second)
		r.locked(func() { r.changeZone(lost, "active", sinceMs(back)) })
		time.Sleep(13 * time.Second)
		r.locked(func() {
			for _, x := range r.proxies {
				if x.zone == lost {
					r.join(x)
				}
			}
		})
	} else {
		time.Sleep(24 * time.Second)
	}
	time.Sleep(6 * time.Second)
	// The server to drain is the one of another zone that most proxies of the zone have in their standing tables.
	drained, most := "s-00", 0
	r.locked(func() {
		for _, t := range r.list {
			n := 0
			for _, x := range r.proxies {
				if x.zone == lost && x.standing[t.Name] > 0 {
					n++
				}
			}
			if t.Zone != lost && n > most {
				drained, most = t.Name, n
			}
		}
	})
	return r.drainAndCheck(a, drained, grace+slack, 20*time.Second)
}
