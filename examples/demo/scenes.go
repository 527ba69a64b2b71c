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
	// startTimeout is the maximum wait for the user of the demo to start the assigner.
	startTimeout = 10 * time.Minute
	// orderTimeout is the maximum wait for the effect of an order of the assigner.
	orderTimeout = 10 * time.Second
	// moveTimeout is the time after a move for which connections to the old addresses stay open, and the maximum wait
	// for the assigner to use the new addresses. It gives the user of the demo time to enter a command.
	moveTimeout = 2 * time.Minute
)

// Errors that end the demo because the assigner does not behave as expected.
var (
	errNotAttached = errors.New("the assigner has not attached tables to all proxies")
	errNotDrained  = errors.New("tables still contain the draining endpoint")
	errNotMoved    = errors.New("the assigner does not use the new address")
)

// awaitAssigner waits until the user has started the assigner, and connects a collector for each zone.
func (d *demo) awaitAssigner() error {
	var err error
	if d.collectors, err = collectortest.DialAll(d.config.Listen, startTimeout, zones()...); err != nil {
		return fmt.Errorf("connect collectors: %w", err)
	}
	d.connectedAt = time.Now()
	d.printf("The assigner answers pings. A collector of each zone is connected.")
	return nil
}

// connectProxies connects the proxies, waits until tables are attached to them, and reports a normal load for three
// seconds.
func (d *demo) connectProxies() error {
	for id := range proxyCount {
		zone := zones()[id%len(zones())]
		d.relay.Connect(id, zone, float64(normalLoad().requestsPerProxy), false)
	}
	d.printf("Six proxies connect. They hold tables of a previous assigner, which this one does not know.")
	if !eventually.True(orderTimeout, func() bool { return d.relay.AllProxiesAttached("") }) {
		return errNotAttached
	}
	d.printf("Each proxy has a table of its own, which prefers endpoints of its zone. Proxy 0, zone x: %s", d.formatTableOfProxy0())
	for range 3 {
		if err := d.reportForOneSecond(normalLoad()); err != nil {
			return err
		}
	}
	d.printf("Three seconds of normal load are reported.")
	return nil
}

// drain drains an endpoint, and prints the time until the assigner has removed the endpoint from all tables.
func (d *demo) drain(endpoint discoverytest.Endpoint) error {
	endpoint.State = discoverytest.Draining
	startedAt := time.Now()
	d.agent.PutEndpoints(endpoint)
	d.printf("Endpoint %s starts to drain. %d proxies have the endpoint in a table.", endpoint.Name, d.countProxiesWith(endpoint.Name))
	if !eventually.True(orderTimeout, func() bool { return d.countProxiesWith(endpoint.Name) == 0 }) {
		return errNotDrained
	}
	d.printf("No table contains the endpoint any more, %d ms after the change of the endpoint list. Proxy 0: %s", time.Since(startedAt).Milliseconds(), d.formatTableOfProxy0())
	return nil
}

// drainAndRestart drains an endpoint, restarts the endpoint, and reports a normal load while the endpoint warms up.
func (d *demo) drainAndRestart() error {
	endpoint := d.agent.List().Endpoints[0]
	if err := d.drain(endpoint); err != nil {
		return err
	}
	endpoint.State, endpoint.StartedAt = discoverytest.Ready, time.Now().UnixMilli()
	d.agent.PutEndpoints(endpoint)
	d.printf("The endpoint restarts and warms up: it gets no requests in the first seconds, then its weight increases.")
	for second := range 9 {
		if err := d.reportForOneSecond(normalLoad()); err != nil {
			return err
		}
		if second%2 == 0 {
			d.printf("Proxy 0: %s", d.formatTableOfProxy0())
		}
	}
	return nil
}

// overload reports an overload with five times the normal number of requests for eight seconds. It then reports a
// normal load until all rate limits are above the load, but for at most 15 seconds.
func (d *demo) overload() error {
	d.printf("Requests increase fivefold. All endpoints are busy and answer late; two thirds of the attempts fail.")
	for range 8 {
		if err := d.reportForOneSecond(load{requestsPerProxy: 100, failedAttempts: 33, latencyMs: 1500, busyFraction: 1}); err != nil {
			return err
		}
		if proxies, lowest := d.rateLimitsBelow("read", 100); proxies > 0 {
			proxiesLimitingSign, _ := d.rateLimitsBelow("sign", 20)
			d.printf("%d proxies limit class read; the lowest limit is %.1f of 100 requests/s; %d limit class sign, which has five times the priority weight.",
				proxies, lowest, proxiesLimitingSign)
		}
	}
	d.printf("The load is normal again.")
	for range 15 {
		if err := d.reportForOneSecond(normalLoad()); err != nil {
			return err
		}
		if proxies, _ := d.rateLimitsBelow("read", float64(normalLoad().requestsPerProxy)); proxies == 0 {
			d.printf("No rate limit is below the load any more.")
			return nil
		}
	}
	d.printf("Some rate limits are still below the load.")
	return nil
}

// moveAddresses moves discovery and the relay to the addresses in the configuration file at movedPath. It waits until
// the assigner uses the new address of discovery, and then drains an endpoint.
func (d *demo) moveAddresses(movedPath string) error {
	movedConfig, err := readConfig(movedPath)
	if err != nil {
		return err
	}
	if err := errors.Join(d.relay.Move(movedConfig.Relay.Address, moveTimeout), d.agent.Move(movedConfig.Discovery, moveTimeout)); err != nil {
		return fmt.Errorf("move: %w", err)
	}
	d.printf("Discovery and the relay move to new addresses; open connections stay open for two minutes. In a third terminal, where PID is the assigner's process id:\n"+
		"    cp %s mine.json && kill -HUP PID", movedPath)
	if !eventually.True(moveTimeout, func() bool { return d.agent.LastRequestHost() == movedConfig.Discovery }) {
		return fmt.Errorf("%w %s", errNotMoved, movedConfig.Discovery)
	}
	d.printf("The assigner uses the new addresses.")
	if err := d.drain(d.agent.List().Endpoints[1]); err != nil {
		return err
	}
	d.printf("The demo is complete. The assigner logs warnings until you stop it, because the demo's services end now.")
	return nil
}
