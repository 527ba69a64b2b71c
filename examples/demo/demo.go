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

// zones returns the zones of the configuration's settings.
func zones() []string { return []string{"x", "y", "z"} }

// platformConfig holds the members of the assigner's configuration file that the fakes use, too.
type platformConfig struct {
	Listen    string // the assigner's address
	Discovery string // address of the fake agent
	Relay     struct{ Address string }
	Initial   discoverytest.ListResponse `json:"known"`
}

// readConfig reads a configuration file.
func readConfig(path string) (config platformConfig, err error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return config, fmt.Errorf("read configuration: %w", err)
	}
	if err := json.Unmarshal(data, &config); err != nil {
		return config, fmt.Errorf("parse %s: %w", path, err)
	}
	return config, nil
}

// demo is a platform of fakes.
type demo struct {
	config      platformConfig
	relay       *relaytest.Relay
	agent       *discoverytest.Agent
	collectors  map[string]*collectortest.Collector // by zone; set by awaitAssigner
	connectedAt time.Time                           // when the assigner answered the last collector's ping
}

// newDemo starts the fakes at the addresses of a configuration file.
func newDemo(configPath string) (*demo, error) {
	config, err := readConfig(configPath)
	if err != nil {
		return nil, err
	}
	relay, err := relaytest.New(config.Relay.Address, "read", "sign")
	if err != nil {
		return nil, fmt.Errorf("start relay: %w", err)
	}
	agent, err := discoverytest.New(config.Discovery, config.Initial.Version, config.Initial.Endpoints...)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("start discovery: %w", err), relay.Close())
	}
	return &demo{
		config:      config,
		relay:       relay,
		agent:       agent,
		connectedAt: time.Now(),
	}, nil
}

// close stops the fakes. The process exits next, so errors have no consequence.
func (d *demo) close() {
	_ = d.relay.Close()
	_ = d.agent.Close()
}

// printf prints a line with the time since the collectors connected.
func (d *demo) printf(format string, values ...any) {
	fmt.Printf("%5.1f s  %s\n", time.Since(d.connectedAt).Seconds(), fmt.Sprintf(format, values...))
}

// load is the content of the reports of one second.
type load struct {
	requests int     // of class read at each proxy; class sign has a fifth of them
	failed   int     // attempts at each endpoint, which gets half as many attempts as requests
	latency  float64 // milliseconds
	busy     float64 // busy fraction of each endpoint
}

// normal is a load that needs no rate limit.
func normal() load { return load{requests: 20, latency: 150, busy: 0.4} }

// report makes the collectors report a load, and waits one second.
func (d *demo) report(second load) error {
	for zone, collector := range d.collectors {
		for _, endpoint := range d.agent.List().Endpoints {
			if endpoint.State != discoverytest.Ready {
				continue
			}
			if err := collector.ReportEndpoint(endpoint.Name, second.requests/2, second.failed, second.latency, second.busy); err != nil {
				return fmt.Errorf("send report: %w", err)
			}
		}
		for _, proxy := range d.proxiesIn(zone) {
			err := errors.Join(collector.ReportProxy(proxy, "read", second.requests), collector.ReportProxy(proxy, "sign", second.requests/5))
			if err != nil {
				return fmt.Errorf("send report: %w", err)
			}
		}
	}
	time.Sleep(time.Second)
	return nil
}

// proxiesIn returns the connected proxies of a zone.
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

// tableOfProxy0 formats the entries of the table of proxy 0.
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

// limited returns the number of tables that limit a class to fewer requests per second than each proxy receives, and the
// lowest limit. Each proxy has a table of its own.
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

// proxiesWith returns the number of proxies that have an endpoint in a table.
func (d *demo) proxiesWith(endpoint string) (proxies int) {
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
