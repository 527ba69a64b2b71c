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

// proxyCount is the number of proxies that connect to the fake relay.
const proxyCount = 6

// zones returns the names of the zones in the settings of examples/config.json.
func zones() []string { return []string{"x", "y", "z"} }

// platformConfig holds the fields of the assigner's configuration file that the fakes use as well.
type platformConfig struct {
	Listen           string                     // address at which the assigner accepts collectors
	Discovery        string                     // address of the fake discovery agent
	Relay            struct{ Address string }   // address of the fake relay
	InitialEndpoints discoverytest.ListResponse `json:"known"` // endpoint list with which the fake discovery agent starts
}

// readConfig reads and parses the configuration file at path.
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

// demo is the simulated environment of one assigner: a relay, a discovery agent and collectors, all of them fakes.
type demo struct {
	config      platformConfig
	relay       *relaytest.Relay
	agent       *discoverytest.Agent
	collectors  map[string]*collectortest.Collector // collectors by the name of their zone; nil before awaitAssigner
	connectedAt time.Time                           // time at which the assigner answered the last collector's ping
}

// newDemo starts the fake relay and the fake discovery agent at the addresses in the configuration file at configPath.
// The caller closes the demo.
func newDemo(configPath string) (*demo, error) {
	config, err := readConfig(configPath)
	if err != nil {
		return nil, err
	}
	relay, err := relaytest.New(config.Relay.Address, "read", "sign")
	if err != nil {
		return nil, fmt.Errorf("start relay: %w", err)
	}
	agent, err := discoverytest.New(config.Discovery, config.InitialEndpoints.Version, config.InitialEndpoints.Endpoints...)
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

// close stops the fake relay and the fake discovery agent. It ignores errors, because the process exits after the
// call.
func (d *demo) close() {
	_ = d.relay.Close()
	_ = d.agent.Close()
}

// printf prints a line that begins with the time since the collectors have connected, in seconds. The arguments are
// those of fmt.Printf.
func (d *demo) printf(format string, values ...any) {
	fmt.Printf("%5.1f s  %s\n", time.Since(d.connectedAt).Seconds(), fmt.Sprintf(format, values...))
}

// load is the load that the collectors report for one second.
type load struct {
	requestsPerProxy int     // number of requests of class read at each proxy; class sign has a fifth of it
	failedAttempts   int     // number of failed attempts at each endpoint, out of requestsPerProxy/2 attempts
	latencyMs        float64 // mean latency of the attempts, ms
	busyFraction     float64 // fraction of each endpoint that is busy, from 0 to 1
}

// normalLoad returns a load that is low enough for the assigner to set no rate limit below the request rate.
func normalLoad() load { return load{requestsPerProxy: 20, latencyMs: 150, busyFraction: 0.4} }

// reportForOneSecond makes the collectors report a load for all ready endpoints and all proxies, and sleeps for one
// second.
func (d *demo) reportForOneSecond(reportedLoad load) error {
	for zone, collector := range d.collectors {
		for _, endpoint := range d.agent.List().Endpoints {
			if endpoint.State != discoverytest.Ready {
				continue
			}
			if err := collector.ReportEndpointLoad(endpoint.Name, reportedLoad.requestsPerProxy/2, reportedLoad.failedAttempts, reportedLoad.latencyMs, reportedLoad.busyFraction); err != nil {
				return fmt.Errorf("send report: %w", err)
			}
		}
		for _, proxy := range d.proxiesIn(zone) {
			err := errors.Join(collector.ReportProxyTraffic(proxy, "read", reportedLoad.requestsPerProxy), collector.ReportProxyTraffic(proxy, "sign", reportedLoad.requestsPerProxy/5))
			if err != nil {
				return fmt.Errorf("send report: %w", err)
			}
		}
	}
	time.Sleep(time.Second)
	return nil
}

// proxiesIn returns the numbers of the connected proxies in a zone.
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

// formatTableOfProxy0 returns the entries of a table that is attached to proxy 0, as text. Each entry consists of an
// endpoint and its weight.
func (d *demo) formatTableOfProxy0() (text string) {
	d.relay.Inspect(func(state *relaytest.State) {
		for _, table := range state.Proxies[0].TableByClass {
			var entries []string
			for _, endpoint := range slices.Sorted(maps.Keys(state.Tables[table])) {
				entries = append(entries, fmt.Sprintf("%s %.2f", endpoint, state.Tables[table][endpoint]))
			}
			text = strings.Join(entries, ", ")
		}
	})
	return text
}

// rateLimitsBelow returns the number of tables that limit a request class to less than requestRate, and the lowest of
// these limits, both in requests per second. The number of tables is the number of proxies, because each proxy has its
// own table. The lowest limit is requestRate if no table has a lower limit.
func (d *demo) rateLimitsBelow(class string, requestRate float64) (proxies int, lowest float64) {
	lowest = requestRate
	d.relay.Inspect(func(state *relaytest.State) {
		for key, text := range state.RateLimits {
			limit, err := strconv.ParseFloat(text, 64)
			if err == nil && strings.HasSuffix(key, ","+class) && limit < requestRate {
				proxies++
				lowest = min(lowest, limit)
			}
		}
	})
	return proxies, lowest
}

// countProxiesWith returns the number of proxies with an attached table that contains the given endpoint.
func (d *demo) countProxiesWith(endpoint string) (proxies int) {
	d.relay.Inspect(func(state *relaytest.State) {
		for _, proxy := range state.Proxies {
			for _, table := range proxy.TableByClass {
				if state.Tables[table][endpoint] > 0 {
					proxies++
					break
				}
			}
		}
	})
	return proxies
}
