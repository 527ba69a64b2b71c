package main

import (
	"flag"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"syscall"
	"time"
)

// Run is one run of a case.
type Run struct {
	*World
	root, command string
	trouble       bool
	seed          int64
	logs          string
	rule          string // rule that decides the result; empty: all
}

// play starts the instances, then plays until the time has passed.
func (r *Run) begin() {
	for range r.site.Instances {
		r.newInstance(len(r.instances), r.logs)
	}
	r.addProxies()
	r.mu.Lock()
	for _, in := range r.instances {
		in.startProcess(r.root, r.command)
		for _, zone := range r.site.Zones {
			go in.collect(zone)
		}
	}
	r.mu.Unlock()
	go func() {
		last := time.Now()
		for {
			time.Sleep(2 * time.Millisecond)
			now := time.Now()
			r.mu.Lock()
			r.step(now, now.Sub(last).Seconds())
			r.mu.Unlock()
			last = now
		}
	}()
}

// at waits until a time of the run.
func (r *Run) at(s float64) {
	time.Sleep(time.Until(r.start.Add(seconds(s))))
}

func (r *Run) do(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// finish ends the processes and exits with the result.
func (r *Run) finish() {
	for _, in := range r.instances {
		if in.cmd != nil {
			in.signal(syscall.SIGCONT)
			in.end(syscall.SIGTERM)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, in := range r.instances {
		r.logf("instance %d: %d calls, at most %.0f lines waited", in.index, in.calls, in.peak)
	}
	r.logf("%d requests served, %d refused, %d failed", r.served, r.refused, r.failed)
	text, code := "held", 0
	switch {
	case r.rule == "" && len(r.violation) > 0:
		text, code = fmt.Sprintf("broken %v; %s", r.counts, r.violation[0]), 1
	case r.counts["crash"] > 0:
		text, code = "an assigner ended by itself", 2
	case r.counts[r.rule] > 0:
		text, code = fmt.Sprintf("rule %q broken %d times", r.rule, r.counts[r.rule]), 1
	}
	r.logf("result: %s; all findings: %v", text, r.counts)
	fmt.Println(text)
	r.record.Close()
	os.Exit(code)
}

// awaitReady waits until all instances answer pings and all proxies are joined.
func (r *Run) awaitReady() {
	for deadline := time.Now().Add(35 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		joined := 0
		r.do(func() {
			for _, p := range r.proxies {
				if p.Inst != nil {
					joined++
				}
			}
		})
		if joined == len(r.proxies) {
			return
		}
	}
	for _, in := range r.instances {
		in.end(syscall.SIGKILL)
	}
	fatal("the proxies could not join within 35 s")
}

// move gives discovery and the relay new addresses and sends SIGHUP.
func (in *Instance) move() {
	w := in.w
	w.mu.Lock()
	oldDisc, oldRelay := in.disc, in.relay
	in.discAddr, in.relayAddr = in.openDiscovery(), in.openRelay()
	in.config()
	in.wait(4 * time.Second)
	w.logf("instance %d: SIGHUP, discovery and relay move", in.index)
	w.mu.Unlock()
	in.signal(syscall.SIGHUP)
	oldDisc.retire(1500 * time.Millisecond)
	oldRelay.retire(1500 * time.Millisecond)
}

func main() {
	name := flag.String("case", "", "case to play")
	root := flag.String("root", ".", "folder of the project")
	record := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	seed, err := strconv.ParseInt(os.Getenv("SEED"), 10, 64)
	if err != nil {
		seed = 1
	}
	deploy, err := os.ReadFile(filepath.Join(*root, "deploy/balancer.toml"))
	if err != nil {
		fatal("%v", err)
	}
	command := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindStringSubmatch(string(deploy))
	if command == nil {
		fatal("no run line in the deploy file")
	}
	logs, err := os.MkdirTemp("", "case")
	if err != nil {
		fatal("%v", err)
	}
	play, ok := cases[*name]
	if !ok {
		fatal("no case %q", *name)
	}
	r := &Run{root: *root, command: command[1], trouble: os.Getenv("TROUBLE") != "0", seed: seed, logs: logs}
	r.World = newWorld(play.site(rand.New(rand.NewSource(seed))), seed, *record)
	r.logf("case %s, seed %d, trouble %t", *name, seed, r.trouble)
	play.play(r)
	if os.Getenv("KEEP_LOGS") == "" {
		os.RemoveAll(logs)
	} else {
		fmt.Println(logs)
	}
	r.finish()
}
