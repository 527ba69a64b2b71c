// Command toy plays a small platform on the loopback address round one assigner and tells what that orders: a
// relay with six proxies, discovery with twelve tasks, and a collector a zone. Nothing here serves a req; the
// reports follow a script.
package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"madderhollow/internal/standin"
)

// told is the part of the assigner's configuration that its surroundings need as well.
type told struct {
	Listen, Discovery string
	Relay             struct{ Address string }
	Known             standin.List
}

type toy struct {
	told
	relay      *standin.Relay
	agent      *standin.Discovery
	collectors map[string]*standin.Collector
	began      time.Time
}

func main() {
	path := flag.String("config", "examples/config.json", "the assigner's configuration")
	moved := flag.String("moved", "examples/moved.json", "the one that takes its place at the end")
	flag.Parse()
	if err := run(*path, *moved); err != nil {
		fmt.Fprintln(os.Stderr, "toy:", err)
		os.Exit(1)
	}
}

func (t *toy) say(f string, v ...any) {
	fmt.Printf("%5.1f s  %s\n", time.Since(t.began).Seconds(), fmt.Sprintf(f, v...))
}

func run(path, moved string) error {
	t := &toy{began: time.Now(), collectors: map[string]*standin.Collector{}}
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(b, &t.told); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if t.relay, err = standin.NewRelay(t.Relay.Address, "read", "sign"); err != nil {
		return err
	}
	defer t.relay.Close()
	if t.agent, err = standin.NewDiscovery(t.Discovery, t.Known.Index, t.Known.Endpoints...); err != nil {
		return err
	}
	defer t.agent.Close()
	fmt.Printf("Waiting for an assigner at %s. In another terminal:\n    cp %s mine.json && EDGE_CONFIG=mine.json bin/madderhollow\n", t.Listen, path)
	if err := t.meet(); err != nil {
		return err
	}
	if err := t.story(); err != nil {
		return err
	}
	return t.move(moved)
}

// meet waits for the assigner and connects the collectors.
func (t *toy) meet() error {
	for _, zone := range []string{"x", "y", "z"} {
		if !standin.Until(10*time.Minute, func() bool {
			c, err := standin.Dial(t.Listen, zone)
			t.collectors[zone] = c
			return err == nil
		}) {
			return fmt.Errorf("nobody listens at %s", t.Listen)
		}
		if err := t.collectors[zone].Ping(10 * time.Second); err != nil {
			return fmt.Errorf("ping: %w", err)
		}
	}
	t.began = time.Now()
	t.say("It answers pings, so it can take up its work. Its collectors are connected.")
	return nil
}

// second lets a second pass in which every proxy got so many reqs, and its tries went so.
func (t *toy) second(reqs, errors int, rtt, busy float64) error {
	for zone, c := range t.collectors {
		for _, e := range t.agent.List().Endpoints {
			if e.Status == "active" {
				if err := c.Heard(e.Name, reqs/2, errors, rtt, busy); err != nil {
					return fmt.Errorf("the assigner is gone: %w", err)
				}
			}
		}
		t.relay.Look(func() {
			for id, p := range t.relay.Proxies {
				if p.Zone == zone {
					c.Usage(id, "read", reqs)
					c.Usage(id, "sign", reqs/5)
				}
			}
		})
	}
	time.Sleep(time.Second)
	return nil
}

// lines gives proxy 0's table.
func (t *toy) lines() (text string) {
	t.relay.Look(func() {
		for _, table := range t.relay.Proxies[0].Tables {
			var l []string
			for _, task := range slices.Sorted(maps.Keys(t.relay.Tables[table])) {
				l = append(l, fmt.Sprintf("%s %.2f", task, t.relay.Tables[table][task]))
			}
			text = strings.Join(l, ", ")
		}
	})
	return text
}

// levels tells how many proxies hold a kind to fewer reqs a second than come.
func (t *toy) levels(kind string, come float64) (n int, least float64) {
	least = come
	t.relay.Look(func() {
		for key, level := range t.relay.Levels {
			var x float64
			fmt.Sscan(level, &x)
			if strings.HasSuffix(key, ","+kind) && x < come {
				n, least = n+1, min(least, x)
			}
		}
	})
	return n, least
}

func (t *toy) using(task string) (n int) {
	t.relay.Look(func() {
		for _, p := range t.relay.Proxies {
			for _, table := range p.Tables {
				if t.relay.Tables[table][task] > 0 {
					n++
					break
				}
			}
		}
	})
	return n
}

func (t *toy) story() error {
	for id := range 6 {
		t.relay.Join(id, string("xyz"[id%3]), 20, false)
	}
	t.say("Six proxies join. They hold tables of a former assigner, which nobody here knows.")
	bound := func() (ok bool) {
		ok = true
		t.relay.Look(func() {
			for _, p := range t.relay.Proxies {
				ok = ok && len(p.Tables) == 2
			}
		})
		return ok
	}
	if !standin.Until(10*time.Second, bound) {
		return fmt.Errorf("the proxies were not bound")
	}
	t.say("Each is bound to a table of its own, its zone's tasks first. Proxy 0, of zone x: %s", t.lines())

	for range 3 {
		if err := t.second(20, 0, 150, 0.4); err != nil {
			return err
		}
	}
	t.say("Three calm seconds went by; nothing needed a change.")

	drained := t.agent.List().Endpoints[0]
	drained.Status = "leaving"
	at := time.Now()
	t.agent.Change(drained)
	t.say("Task %s drains; %d proxies have it in a table.", drained.Name, t.using(drained.Name))
	if !standin.Until(10*time.Second, func() bool { return t.using(drained.Name) == 0 }) {
		return fmt.Errorf("the drain was not kept")
	}
	t.say("No table has it any more, %d ms after discovery told. Proxy 0: %s", time.Since(at).Milliseconds(), t.lines())

	drained.Status, drained.Since = "active", time.Now().UnixMilli()
	t.agent.Change(drained)
	t.say("It comes back, cold: it stays out for the first seconds, then its weight grows with what it can surely do.")
	for i := range 9 {
		if err := t.second(20, 0, 150, 0.4); err != nil {
			return err
		}
		if i%2 == 0 {
			t.say("Proxy 0: %s", t.lines())
		}
	}

	t.say("Now five times as many reqs come; all tasks are busy, answer late and fail two thirds of the tries.")
	for range 8 {
		if err := t.second(100, 33, 1500, 1); err != nil {
			return err
		}
		if n, least := t.levels("read", 100); n > 0 {
			t.say("%d proxies let in fewer reads than come, the least %.1f of 100 a second; signs, worth five times as much, are held at %d.",
				n, least, func() int { n, _ := t.levels("sign", 20); return n }())
		}
	}
	t.say("The load is over.")
	for range 15 {
		if err := t.second(20, 0, 150, 0.4); err != nil {
			return err
		}
		if n, _ := t.levels("read", 20); n == 0 {
			t.say("No level holds back what comes.")
			return nil
		}
	}
	t.say("Some levels still stand.")
	return nil
}

// move takes discovery and the relay to other addresses, as a new configuration has them.
func (t *toy) move(moved string) error {
	b, err := os.ReadFile(moved)
	if err != nil {
		return err
	}
	next := *t
	if err := json.Unmarshal(b, &next.told); err != nil {
		return fmt.Errorf("%s: %w", moved, err)
	}
	const open = 2 * time.Minute // for whoever types; on a platform it may be a second
	if err := errors.Join(t.relay.Move(next.Relay.Address, open), t.agent.Move(next.Discovery, open)); err != nil {
		return err
	}
	t.say("Discovery and the relay move; what is open stays so for two minutes. In a third terminal:\n"+
		"    cp %s mine.json && pkill -HUP -x madderhollow", moved)
	drained := t.agent.List().Endpoints[1]
	if !standin.Until(open, func() bool { return t.agent.Asked() == next.Discovery }) {
		return fmt.Errorf("nobody came to %s", next.Discovery)
	}
	t.say("The assigner is at the new addresses.")
	drained.Status = "leaving"
	at := time.Now()
	t.agent.Change(drained)
	if !standin.Until(10*time.Second, func() bool { return t.using(drained.Name) == 0 }) {
		return fmt.Errorf("the drain was not kept")
	}
	t.say("Task %s drains there; %d ms later no table has it. That is all; end the assigner with Ctrl-C.", drained.Name,
		time.Since(at).Milliseconds())
	return nil
}
