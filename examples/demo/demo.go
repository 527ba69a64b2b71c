package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"madderhollow/internal/collectortest"
	"madderhollow/internal/discoverytest"
	"madderhollow/internal/relaytest"
)

// proxyCount is the number of proxies.
const proxyCount = 6

// surroundings is the part of the assigner's configuration that its surroundings need as well.
type surroundings struct {
	Listen    string
	Discovery string
	Relay     struct{ Address string }
	Known     discoverytest.List
}

func readConfig(path string) (config surroundings, err error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return config, err
	}
	if err := json.Unmarshal(data, &config); err != nil {
		return config, fmt.Errorf("%s: %w", path, err)
	}
	return config, nil
}

// demo is the platform.
type demo struct {
	config     surroundings
	relay      *relaytest.Relay
	agent      *discoverytest.Agent
	collectors map[string]*collectortest.Collector // by zone
	began      time.Time
}

func newDemo(configPath string) (*demo, error) {
	config, err := readConfig(configPath)
	if err != nil {
		return nil, err
	}
	relay, err := relaytest.New(config.Relay.Address, "read", "sign")
	if err != nil {
		return nil, err
	}
	agent, err := discoverytest.New(config.Discovery, config.Known.Index, config.Known.Endpoints...)
	if err != nil {
		return nil, errors.Join(err, relay.Close())
	}
	return &demo{config: config, relay: relay, agent: agent, collectors: map[string]*collectortest.Collector{}, began: time.Now()}, nil
}

// close ends the fakes. The process ends next, so that nothing is left of them either way.
func (d *demo) close() {
	_ = d.relay.Close()
	_ = d.agent.Close()
}

// say tells the reader something, with the seconds since the assigner came.
func (d *demo) say(format string, values ...any) {
	fmt.Printf("%5.1f s  %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, values...))
}

// load is what a second's reports tell.
type load struct {
	requests int // of class read at each proxy; class sign has a fifth of it
	failed   int // attempts at each endpoint, of half as many
	latency  float64
	busy     float64
}

// calm is a load with which nothing needs a change.
func calm() load { return load{requests: 20, latency: 150, busy: 0.4} }

// report has the collectors report a second, and lets it pass.
func (d *demo) report(second load) error {
	for zone, collector := range d.collectors {
		for _, endpoint := range d.agent.List().Endpoints {
			if endpoint.Status != discoverytest.Active {
				continue
			}
			if err := collector.ReportEndpoint(endpoint.Name, second.requests/2, second.failed, second.latency, second.busy); err != nil {
				return fmt.Errorf("the assigner is gone: %w", err)
			}
		}
		for _, proxy := range d.proxiesIn(zone) {
			err := errors.Join(collector.ReportProxy(proxy, "read", second.requests), collector.ReportProxy(proxy, "sign", second.requests/5))
			if err != nil {
				return fmt.Errorf("the assigner is gone: %w", err)
			}
		}
	}
	time.Sleep(time.Second)
	return nil
}

func (d *demo) proxiesIn(zone string) (proxies []int) {
	d.relay.Inspect(func(state *relaytest.State) {
		for id, proxy := range state.Proxies {
			if proxy.Zone == zone {
				proxies = append(proxies, id)
			}
		}
	})
	return proxies
}

// attached tells whether every proxy has tables for both classes.
func (d *demo) attached() (all bool) {
	d.relay.Inspect(func(state *relaytest.State) {
		all = true
		for _, proxy := range state.Proxies {
			all = all && len(proxy.Tables) == 2
		}
	})
	return all
}

// tableOfProxy0 writes its entries.
func (d *demo) tableOfProxy0() (text string) {
	d.relay.Inspect(func(state *relaytest.State) {
		for _, table := range state.Proxies[0].Tables {
			var entries []string
			for _, endpoint := range slices.Sorted(maps.Keys(state.Tables[table])) {
				entries = append(entries, fmt.Sprintf("%s %.2f", endpoint, state.Tables[table][endpoint]))
			}
			text = strings.Join(entries, ", ")
		}
	})
	return text
}

// limited tells how many proxies hold a class to fewer requests a second than come, and the lowest limit.
func (d *demo) limited(class string, requests float64) (proxies int, lowest float64) {
	lowest = requests
	d.relay.Inspect(func(state *relaytest.State) {
		for key, text := range state.Limits {
			limit, err := strconv.ParseFloat(text, 64)
			if err == nil && strings.HasSuffix(key, ","+class) && limit < requests {
				proxies++
				lowest = min(lowest, limit)
			}
		}
	})
	return proxies, lowest
}

// users counts the proxies that have an endpoint in a table.
func (d *demo) users(endpoint string) (proxies int) {
	d.relay.Inspect(func(state *relaytest.State) {
		for _, proxy := range state.Proxies {
			for _, table := range proxy.Tables {
				if state.Tables[table][endpoint] > 0 {
					proxies++
					break
				}
			}
		}
	})
	return proxies
}
