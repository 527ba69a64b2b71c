package main

import (
	"errors"
	"fmt"
	"time"

	"madderhollow/internal/collectortest"
	"madderhollow/internal/discoverytest"
	"madderhollow/internal/eventually"
)

const (
	// patience is what a reader may take to type a command.
	patience = 10 * time.Minute
	// orderTimeout is what any order may take.
	orderTimeout = 10 * time.Second
	// moveTimeout is how long old addresses stay open after a move; on a platform it may be a second.
	moveTimeout = 2 * time.Minute
)

// Errors of an assigner that does not do its work.
var (
	errNobodyListens = errors.New("nobody listens")
	errNotAttached   = errors.New("the proxies were not attached to tables")
	errDrainNotKept  = errors.New("the drain was not kept")
)

// awaitAssigner waits for the assigner and connects the collectors.
func (d *demo) awaitAssigner() error {
	for _, zone := range []string{"x", "y", "z"} {
		var collector *collectortest.Collector
		connected := eventually.True(patience, func() bool {
			var err error
			collector, err = collectortest.Dial(d.config.Listen, zone)
			return err == nil
		})
		if !connected {
			return fmt.Errorf("%w at %s", errNobodyListens, d.config.Listen)
		}
		if err := collector.Ping(orderTimeout); err != nil {
			return fmt.Errorf("ping: %w", err)
		}
		d.collectors[zone] = collector
	}
	d.began = time.Now()
	d.say("It answers pings, so it can take up its work. Its collectors are connected.")
	return nil
}

// connectProxies connects the proxies and lets some calm seconds pass.
func (d *demo) connectProxies() error {
	for id := range proxyCount {
		d.relay.Connect(id, string("xyz"[id%3]), float64(calm().requests), false)
	}
	d.say("Six proxies connect. They hold tables of a former assigner, which nobody here knows.")
	if !eventually.True(orderTimeout, d.attached) {
		return errNotAttached
	}
	d.say("Each is attached to a table of its own, its zone's endpoints first. Proxy 0, of zone x: %s", d.tableOfProxy0())
	for range 3 {
		if err := d.report(calm()); err != nil {
			return err
		}
	}
	d.say("Three calm seconds went by; nothing needed a change.")
	return nil
}

// drain drains an endpoint and tells how long that took.
func (d *demo) drain(endpoint discoverytest.Endpoint) error {
	endpoint.Status = discoverytest.Leaving
	began := time.Now()
	d.agent.Change(endpoint)
	d.say("Endpoint %s drains; %d proxies have it in a table.", endpoint.Name, d.users(endpoint.Name))
	if !eventually.True(orderTimeout, func() bool { return d.users(endpoint.Name) == 0 }) {
		return errDrainNotKept
	}
	d.say("No table has it any more, %d ms after discovery told. Proxy 0: %s", time.Since(began).Milliseconds(), d.tableOfProxy0())
	return nil
}

// drainAndRestart drains an endpoint and has it come back.
func (d *demo) drainAndRestart() error {
	endpoint := d.agent.List().Endpoints[0]
	if err := d.drain(endpoint); err != nil {
		return err
	}
	endpoint.Status, endpoint.Since = discoverytest.Active, time.Now().UnixMilli()
	d.agent.Change(endpoint)
	d.say("It comes back and warms up: it stays out for the first seconds, then its weight grows with what it can surely do.")
	for second := range 9 {
		if err := d.report(calm()); err != nil {
			return err
		}
		if second%2 == 0 {
			d.say("Proxy 0: %s", d.tableOfProxy0())
		}
	}
	return nil
}

// overload brings five times as many requests for some seconds.
func (d *demo) overload() error {
	d.say("Now five times as many requests come; all endpoints are busy, answer late and fail two thirds of the attempts.")
	for range 8 {
		if err := d.report(load{requests: 100, failed: 33, latency: 1500, busy: 1}); err != nil {
			return err
		}
		if proxies, lowest := d.limited("read", 100); proxies > 0 {
			signs, _ := d.limited("sign", 20)
			d.say("%d proxies let in fewer reads than come, the least %.1f of 100 a second; signs, of five times the priority, are limited at %d.",
				proxies, lowest, signs)
		}
	}
	d.say("The load is over.")
	for range 15 {
		if err := d.report(calm()); err != nil {
			return err
		}
		if proxies, _ := d.limited("read", float64(calm().requests)); proxies == 0 {
			d.say("No rate limit holds back what comes.")
			return nil
		}
	}
	d.say("Some rate limits still stand.")
	return nil
}

// move takes discovery and the relay to the addresses of another configuration.
func (d *demo) move(movedPath string) error {
	moved, err := readConfig(movedPath)
	if err != nil {
		return err
	}
	if err := errors.Join(d.relay.Move(moved.Relay.Address, moveTimeout), d.agent.Move(moved.Discovery, moveTimeout)); err != nil {
		return err
	}
	d.say("Discovery and the relay move; what is open stays so for two minutes. In a third terminal:\n"+
		"    cp %s mine.json && pkill -HUP -x madderhollow", movedPath)
	if !eventually.True(moveTimeout, func() bool { return d.agent.LastHost() == moved.Discovery }) {
		return fmt.Errorf("nobody came to %s: %w", moved.Discovery, errNobodyListens)
	}
	d.say("The assigner is at the new addresses.")
	if err := d.drain(d.agent.List().Endpoints[1]); err != nil {
		return err
	}
	d.say("That is all; end the assigner with Ctrl-C.")
	return nil
}
