package main

import "time"

// newsCase: the relay's news connection is reset, the next two are reset 100 ms after they came up, and then none comes
// up for 2.5 s. Ten seconds after that a server is drained. The check: no joined proxy sends to it later than the grace and the 300 ms of the protocol page.
func newsCase(r *run) int {
	const (
		grace    = 2000 * time.Millisecond
		slack    = 300 * time.Millisecond
		flapping = 250 * time.Millisecond  // news connections come up and are reset
		down     = 2500 * time.Millisecond // none comes up
		proxies  = 36
		servers  = 28
	)
	settings := r.fourZones(servers, proxies, []string{"za", "zb", "zc"})
	a := startAssigner(r.platform, r.root, r.folder, settings)
	r.locked(func() {
		for i := range proxies {
			x := r.addProxy(r.zones[i%4], 16, r.draw(r.zones[i%4], 5))
			x.cold = false // it holds tables of an earlier assigner, which here are its standing ones
			if x.zone == "zd" {
				x.classTable["issue"], x.tables[60000] = 60000, map[string]float64{"s-00": 1, "s-01": 1, "s-02": 1}
			}
			r.join(x)
		}
	})
	r.startTraffic()
	go r.collect(a.listen, time.Second, map[string]float64{"load_share": 0.4, "concurrent": 2, "mean_ms": 40}, r.done)
	time.Sleep(10 * time.Second)

	if r.trouble {
		r.locked(func() {
			start := time.Now()
			r.log("trouble: news connections are reset %v after they came up, for %v; then none comes up for %v", newsLife, flapping, down)
			r.newsCut = func() bool { return time.Since(start) < flapping+down }
			r.newsDown = func() bool { return time.Since(start) > flapping && time.Since(start) < flapping+down }
		})
	}
	time.Sleep(flapping + down + 10*time.Second)

	return r.drainAndCheck(a, "s-00", grace+slack, 20*time.Second)
}
