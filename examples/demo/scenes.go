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
	// startTimeout bounds the wait for the reader to start the assigner.
	startTimeout = 10 * time.Minute
	// orderTimeout bounds the wait for an order.
	orderTimeout = 10 * time.Second
	// moveTimeout is how long the old addresses stay open after a move. It gives the reader time to type a command.
	moveTimeout = 2 * time.Minute
)

// Errors that end the demo.
var (
	errNotAttached = errors.New("tables were not attached to all proxies")
	errNotDrained  = errors.New("tables still have the draining endpoint")
	errNotMoved    = errors.New("the assigner does not use the new address")
)

// awaitAssigner waits for the assigner and connects the collectors.
func (d *demo) awaitAssigner() error {
	var err error
	if d.collectors, err = collectortest.DialAll(d.config.Listen, startTimeout, zones()...); err != nil {
		return fmt.Errorf("connect collectors: %w", err)
	}
	d.connectedAt = time.Now()
	d.printf("The assigner answers pings. A collector of each zone is connected.")
	return nil
}

// connectProxies connects the proxies and reports a normal load for three seconds.
func (d *demo) connectProxies() error {
	for id := range proxyCount {
		zone := zones()[id%len(zones())]
		d.relay.Connect(id, zone, float64(normal().requests), false)
	}
	d.printf("Six proxies connect. They hold tables of a previous assigner, which this one does not know.")
	if !eventually.True(orderTimeout, func() bool { return d.relay.AllAttached("") }) {
		return errNotAttached
	}
	d.printf("Each proxy has a table of its own, which prefers endpoints of its zone. Proxy 0, zone x: %s", d.tableOfProxy0())
	for range 3 {
		if err := d.report(normal()); err != nil {
			return err
		}
	}
	d.printf("Three seconds of normal load are reported.")
	return nil
}

// drain drains an endpoint and prints how long the assigner took to remove it from all tables.
func (d *demo) drain(endpoint discoverytest.Endpoint) error {
	endpoint.State = discoverytest.Draining
	began := time.Now()
	d.agent.PutEndpoints(endpoint)
	d.printf("Endpoint %s drains; %d proxies have it in a table.", endpoint.Name, d.proxiesWith(endpoint.Name))
	if !eventually.True(orderTimeout, func() bool { return d.proxiesWith(endpoint.Name) == 0 }) {
		return errNotDrained
	}
	d.printf("No table has it %d ms after the change of the endpoint list. Proxy 0: %s", time.Since(began).Milliseconds(), d.tableOfProxy0())
	return nil
}

// drainAndRestart drains an endpoint, restarts it and reports a normal load while it warms up.
func (d *demo) drainAndRestart() error {
	endpoint := d.agent.List().Endpoints[0]
	if err := d.drain(endpoint); err != nil {
		return err
	}
	endpoint.State, endpoint.StartedAt = discoverytest.Ready, time.Now().UnixMilli()
	d.agent.PutEndpoints(endpoint)
	d.printf("The endpoint restarts and warms up: it gets no requests in the first seconds, then its weight increases.")
	for second := range 9 {
		if err := d.report(normal()); err != nil {
			return err
		}
		if second%2 == 0 {
			d.printf("Proxy 0: %s", d.tableOfProxy0())
		}
	}
	return nil
}

// overload reports five times the normal requests for eight seconds, then a normal load until no rate limit rejects requests.
func (d *demo) overload() error {
	d.printf("Requests increase fivefold. All endpoints are busy and answer late; two thirds of the attempts fail.")
	for range 8 {
		if err := d.report(load{requests: 100, failed: 33, latency: 1500, busy: 1}); err != nil {
			return err
		}
		if proxies, lowest := d.limited("read", 100); proxies > 0 {
			limitedSign, _ := d.limited("sign", 20)
			d.printf("%d proxies limit class read, the lowest limit is %.1f of 100 requests/s; %d limit class sign, which has five times the priority weight.",
				proxies, lowest, limitedSign)
		}
	}
	d.printf("The load is normal again.")
	for range 15 {
		if err := d.report(normal()); err != nil {
			return err
		}
		if proxies, _ := d.limited("read", float64(normal().requests)); proxies == 0 {
			d.printf("No rate limit is below the load any more.")
			return nil
		}
	}
	d.printf("Some rate limits are still below the load.")
	return nil
}

// move moves discovery and the relay to the addresses of another configuration and drains an endpoint there.
func (d *demo) move(movedPath string) error {
	moved, err := readConfig(movedPath)
	if err != nil {
		return err
	}
	if err := errors.Join(d.relay.Move(moved.Relay.Address, moveTimeout), d.agent.Move(moved.Discovery, moveTimeout)); err != nil {
		return fmt.Errorf("move: %w", err)
	}
	d.printf("Discovery and the relay move to new addresses; open connections stay open for two minutes. In a third terminal, where PID is the assigner's process id:\n"+
		"    cp %s mine.json && kill -HUP PID", movedPath)
	if !eventually.True(moveTimeout, func() bool { return d.agent.LastRequestHost() == moved.Discovery }) {
		return fmt.Errorf("%w %s", errNotMoved, moved.Discovery)
	}
	d.printf("The assigner uses the new addresses.")
	if err := d.drain(d.agent.List().Endpoints[1]); err != nil {
		return err
	}
	d.printf("The demo is complete. The assigner logs warnings until you stop it, because the demo's services end now.")
	return nil
}
