package main

import (
	"fmt"
	"math"
	"math/rand"
	"os"
	"strings"
	"syscall"
	"time"
)

type playable struct {
	site func(rng *rand.Rand) Site
	play func(r *Run)
}

var cases = map[string]playable{}

func init() { cases["hunt"] = playable{huntSite, hunt} }

func huntSite(rng *rand.Rand) Site {
	base := Site{Zones: []string{"a", "b", "c"}, Proxies: 9, Rate: 12, RoundMs: 2, Admission: "rps", ColdS: 15, FallS: 3, IntervalS: 1, Instances: 2, BareS: 6, Tip: 2.5}
	class := func(name string, share float64) Class { return Class{Name: name, Share: share} }
	switch kind := os.Getenv("KIND"); {
	case kind == "cantabrico":
		base.LinesPerS, base.Head, base.PendingMax, base.MessagesMost = 15900, 10, 31800, 20
		base.PropagationS, base.WorstS, base.GraceS, base.ColdFrom, base.Standing, base.IntervalS = 0.296, 0.74, 3, 0.2, 12, 0.5
		base.Classes = []Class{class("series-read", .43), class("summary-read", .34), class("cert-issue", .23)}
	case kind == "oviedo":
		base.Zones = []string{"n", "s", "e", "w"}
		base.LinesPerS, base.Head, base.PendingMax, base.RoundMs = 1700, 6, 2550, 5
		base.PropagationS, base.WorstS, base.GraceS, base.ColdFrom, base.Standing = 0.2, 0.5, 1.5, 0.26, 5
		base.Tip, base.ColdS, base.UsualHow = 4, 12, 1
		base.Classes = []Class{class("record-read", .52), class("obs-upload", .34), {Name: "cert-issue", Share: .14, OnlyZones: []string{"n", "s", "e"}}}
		base.Proxies = 12
	case kind == "galicia":
		base.LinesPerS, base.Head, base.PendingMax = 2400, 3, 4800
		base.PropagationS, base.WorstS, base.GraceS, base.ColdFrom, base.Standing = 0.2, 0.5, 2, 0.19, 6
		base.UsualHow, base.Instances = 1, 1
		base.DroppedStay = os.Getenv("STAY") != ""
		base.Classes = []Class{class("daily-summary", .43), class("series-export", .30), class("issue-report", .27)}
	default: // adresses
		base.LinesPerS, base.Head, base.PendingMax = 4500, 10, 4500
		base.PropagationS, base.WorstS, base.GraceS, base.ColdFrom, base.Standing = 0.2, 0.5, 3, 0.2, 6
		base.Admission, base.UsualHow, base.Tip = "ratio", 1, 3
		base.Classes = []Class{class("a", .43), class("b", .30), {Name: "c", Share: .27, HomeOnly: true}}
	}
	if os.Getenv("LATER") != "" {
		switch os.Getenv("KIND") {
		case "cantabrico":
			base.Proxies, base.Instances, base.Rate = 700, 6, 3.4
		case "oviedo":
			base.Proxies, base.Instances, base.Rate = 150, 4, 5.9
		case "galicia":
			base.Proxies, base.Instances, base.Rate = 240, 2, 3.7
		}
	}
	if n := os.Getenv("PROXIES"); n != "" {
		fmt.Sscan(n, &base.Proxies)
	}
	if n := os.Getenv("INST"); n != "" {
		fmt.Sscan(n, &base.Instances)
	}
	return base
}

// hunt plays random troubles.
func hunt(r *Run) {
	s := &r.site
	perZone := 5 + r.rng.Intn(3)
	if s.Proxies > 30 {
		perZone = s.Proxies / 5
	}
	if os.Getenv("LATER") != "" {
		perZone = map[string]int{"cantabrico": 82, "oviedo": 25, "galicia": 35}[os.Getenv("KIND")]
	}
	total := s.Rate * float64(s.Proxies)
	for _, z := range s.Zones {
		for i := range perZone {
			r.addEndpoint(fmt.Sprintf("s-%s%d", z, i), z, 1, total/float64(perZone*len(s.Zones))/0.68)
		}
	}
	r.begin()
	time.Sleep(6 * time.Second)
	kinds := strings.Split(os.Getenv("TROUBLES"), ",")
	if kinds[0] == "" {
		kinds = []string{"drain", "restart", "proxies", "cutoff", "kill", "term", "stall", "hup", "answers", "resets", "news", "silentnews", "zone", "hang"}
	}
	for time.Since(r.start) < 85*time.Second {
		kind := kinds[r.rng.Intn(len(kinds))]
		r.do(func() { r.logf("trouble: %s", kind) })
		r.one(kind)
		time.Sleep(seconds(r.rng.Float64() * 4))
	}
	time.Sleep(12 * time.Second)
}

func (r *Run) pickEndpoint() *Endpoint {
	for range 50 {
		e := r.endpoints[r.rng.Intn(len(r.endpoints))]
		if e.Running && !e.Hung && e.Status == "active" {
			same := 0
			for _, o := range r.endpoints {
				if o.Zone == e.Zone && o.Status == "active" && !o.cold(&r.site, time.Now()) {
					same++
				}
			}
			if same > 2 {
				return e
			}
		}
	}
	return nil
}

func (r *Run) restartLater(e *Endpoint, after float64) {
	time.AfterFunc(seconds(after), func() {
		r.do(func() { e.Started, e.Running, e.Hung = time.Now(), true, false })
		time.Sleep(seconds(0.6 + r.seedFloat()))
		r.do(func() { e.Status = "active"; r.tell(e) })
	})
}

func (r *Run) seedFloat() float64 { return rand.Float64() }

func (r *Run) one(kind string) {
	in := r.instances[r.rng.Intn(len(r.instances))]
	switch kind {
	case "drain":
		for range 1 + r.rng.Intn(4) {
			var e *Endpoint
			r.do(func() {
				if e = r.pickEndpoint(); e != nil {
					e.Status = "leaving"
					r.tell(e)
				}
			})
			if e == nil {
				continue
			}
			time.AfterFunc(seconds(4+2*rand.Float64()), func() {
				r.do(func() { e.Running = false; e.Status = "left"; r.tell(e) })
				r.restartLater(e, 3)
			})
			time.Sleep(seconds(0.3 * rand.Float64()))
		}
	case "restart":
		r.do(func() {
			if e := r.pickEndpoint(); e != nil {
				e.Running = false
				time.AfterFunc(time.Second, func() { r.do(func() { e.Status = "left"; r.tell(e) }); r.restartLater(e, 3) })
			}
		})
	case "zone":
		r.do(func() {
			z := r.site.Zones[r.rng.Intn(len(r.site.Zones))]
			if os.Getenv("ATONCE") != "" {
				r.zoneLoss(z)
				return
			}
			for _, e := range r.endpoints {
				if e.Zone == z && e.Status == "active" && e.Running {
					e.Running = false
					time.AfterFunc(seconds(1+rand.Float64()), func() { r.do(func() { e.Status = "left"; r.tell(e) }); r.restartLater(e, 9) })
				}
			}
		})
		time.Sleep(3 * time.Second)
		if os.Getenv("ATONCE") != "" {
			time.Sleep(28 * time.Second)
		}
	case "hang":
		r.do(func() {
			if e := r.pickEndpoint(); e != nil {
				e.Hung = true
				time.AfterFunc(seconds(7), func() { r.do(func() { e.Status = "left"; r.tell(e) }); r.restartLater(e, 6) })
			}
		})
	case "proxies":
		r.do(func() {
			for _, p := range r.proxies {
				if p.Alive && r.rng.Float64() < 0.5 {
					if p.Inst != nil {
						p.Inst.leave(p, time.Now())
					}
					p.Alive = false
					time.AfterFunc(seconds(1.2+3*rand.Float64()), func() { r.do(func() { r.startProxy(p) }) })
				}
			}
		})
	case "cutoff":
		r.do(func() {
			until := time.Now().Add(seconds(6 + 6*r.rng.Float64()))
			for _, p := range r.proxies {
				if p.Alive && r.rng.Float64() < 0.45 {
					p.cutUntil = until
					if p.Inst != nil {
						p.Inst.leave(p, time.Now())
					}
				}
			}
		})
	case "kill", "term":
		if !in.ready {
			return
		}
		sig := syscall.SIGKILL
		if kind == "term" {
			sig = syscall.SIGTERM
		}
		in.end(sig)
		time.Sleep(seconds(0.5 + 2*r.rng.Float64()))
		r.do(func() { in.startProcess(r.root, r.command) })
	case "stall":
		go func() {
			for range 3 {
				r.do(func() { in.stopped = true })
				in.signal(syscall.SIGSTOP)
				time.Sleep(1800 * time.Millisecond)
				in.signal(syscall.SIGCONT)
				r.do(func() { in.stopped = false })
				time.Sleep(2500 * time.Millisecond)
			}
		}()
	case "hup":
		if in.ready {
			in.move()
		}
	case "answers", "resets":
		modes := []string{"silent", "lost"}
		if kind == "resets" {
			modes = []string{"reset", "resetlost"}
		}
		r.do(func() {
			in.mode = func() string {
				if r.rng.Float64() < 0.5 {
					return modes[r.rng.Intn(2)]
				}
				return ""
			}
		})
		time.AfterFunc(6*time.Second, func() { r.do(func() { in.mode = nil }) })
	case "spoilt":
		share := []float64{0.3, 0.6, 1}[r.rng.Intn(3)]
		r.do(func() {
			in.mode = func() string {
				if r.rng.Float64() < share {
					return "spoilt"
				}
				return ""
			}
		})
		time.AfterFunc(15*time.Second, func() { r.do(func() { in.mode = nil }) })
	case "slow":
		r.do(func() { in.rate = 0.25 + 0.4*r.rng.Float64() })
		time.AfterFunc(8*time.Second, func() { r.do(func() { in.rate = 1 }) })
	case "pstall":
		go func() {
			for range 4 {
				r.do(func() {
					for _, p := range r.proxies {
						if r.rng.Float64() < 0.8 {
							p.stalled = time.Now().Add(1900 * time.Millisecond)
						}
					}
				})
				time.Sleep(4500 * time.Millisecond)
			}
		}()
	case "wronglist":
		var gone []*Endpoint
		r.do(func() {
			for _, e := range r.endpoints {
				if e.Running && e.Status == "active" && r.rng.Float64() < 0.85 {
					e.Status = "left"
					gone = append(gone, e)
				}
			}
			r.tell(gone...)
		})
		time.AfterFunc(12*time.Second, func() {
			r.do(func() {
				for _, e := range gone {
					e.Status = "active"
				}
				r.tell(gone...)
			})
		})
		time.Sleep(14 * time.Second)
	case "ghosts":
		r.do(func() {
			for i := range len(r.endpoints) * 8 / 10 {
				e := r.byName[fmt.Sprintf("ghost-%d", i)]
				if e == nil {
					e = r.addEndpoint(fmt.Sprintf("ghost-%d", i), r.site.Zones[i%len(r.site.Zones)], 1, 10)
				}
				e.Hung, e.Status = true, "active"
				r.tell(e)
				time.AfterFunc(12*time.Second, func() { r.do(func() { e.Status = "left"; r.tell(e) }) })
			}
		})
		time.Sleep(14 * time.Second)
	case "burst":
		until := time.Now().Add(seconds(3 + 6*r.rng.Float64()))
		factor := 1.3 + 0.5*r.rng.Float64()
		r.do(func() {
			r.loadOn = func(p *Proxy, class string) float64 {
				if time.Now().Before(until) {
					return factor
				}
				return 1
			}
		})
		time.Sleep(2 * time.Second)
	case "shift":
		zone, share := r.site.Zones[r.rng.Intn(len(r.site.Zones))], 0.41+0.32*r.rng.Float64()
		from, length := time.Now(), 1+7*r.rng.Float64()
		n := float64(len(r.site.Zones))
		r.do(func() {
			r.loadOn = func(p *Proxy, class string) float64 {
				part := math.Min(1, time.Since(from).Seconds()/length)
				target := 1.0
				if p.Zone == zone {
					target = 1 + share*(n-1)
				} else {
					target = 1 - share
				}
				return 1 + part*(target-1)
			}
		})
		time.Sleep(5 * time.Second)
	case "one":
		r.do(func() {
			if e := r.pickEndpoint(); e != nil {
				e.Running = false
				r.logf("server %s dies", e.Name)
				time.AfterFunc(seconds(1.5), func() { r.do(func() { e.Status = "left"; r.tell(e) }); r.restartLater(e, 6) })
			}
		})
		time.Sleep(22 * time.Second)
	case "news":
		r.do(func() { in.breakNews(false) })
	case "silentnews":
		r.do(func() { in.breakNews(true) })
	}
}

// zoneLoss loses all servers of a zone. The list tells it in one change, or each by itself, and the return as well.
func (r *Run) zoneLoss(zone string) {
	var lost []*Endpoint
	spread := 0.0
	fmt.Sscan(os.Getenv("SPREAD"), &spread)
	for _, e := range r.endpoints {
		if e.Zone == zone && e.Status == "active" && e.Running {
			e.Running = false
			lost = append(lost, e)
		}
	}
	r.logf("zone %s is lost: %d servers", zone, len(lost))
	if strings.Contains(os.Getenv("ALSO"), "proxies") {
		for _, p := range r.proxies {
			if p.Zone == zone {
				if p.Inst != nil {
					p.Inst.leave(p, time.Now())
				}
				p.Alive = false
				time.AfterFunc(seconds(10.5), func() { r.do(func() { r.startProxy(p) }) })
			}
		}
	}
	if strings.Contains(os.Getenv("ALSO"), "assigner") {
		for i, in := range r.instances {
			if r.site.Zones[i%len(r.site.Zones)] == zone {
				go func() {
					in.end(syscall.SIGKILL)
					time.Sleep(10500 * time.Millisecond)
					r.do(func() { in.startProcess(r.root, r.command) })
				}()
			}
		}
	}
	tell := func(status string) {
		if spread == 0 {
			r.do(func() {
				for _, e := range lost {
					e.Status = status
				}
				r.tell(lost...)
			})
			return
		}
		for _, e := range lost {
			time.AfterFunc(seconds(spread*rand.Float64()), func() { r.do(func() { e.Status = status; r.tell(e) }) })
		}
	}
	time.AfterFunc(seconds(1.5), func() {
		tell("left")
		time.Sleep(seconds(9))
		r.do(func() {
			for _, e := range lost {
				e.Started, e.Running = time.Now(), true
			}
		})
		time.Sleep(seconds(1))
		tell("active")
	})
}
