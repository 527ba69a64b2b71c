// Package config loads the configuration of an assigner: the JSON file that EDGE_CONFIG names, and the environment variables
// that override fields of it. Load, LoadWithRetry and LoadUpdate block while they read the file, for as long as the other end
// stays silent if it is a pipe; a context does not end a read. Any goroutine may call them.
//
// file.go has the fields of the file, load.go reads it at the start, update.go while the program runs.
package config

import (
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"madderhollow/assign"
	"madderhollow/internal/fieldcheck"
	"madderhollow/internal/settings"
	"madderhollow/internal/wire"
)

// Limits where the file states none.
const (
	defaultMemoryMB    = 192
	defaultDescriptors = 1024
)

// Config is the validated configuration of an assigner. Nothing changes it after Load. Addresses are host:port, with an IP
// address as host.
type Config struct {
	Path             string // of the file
	Name             string // of this assigner, for the log
	Listen           string // for collectors
	Discovery        string
	Relay            string
	Seed             int64
	Cores            float64  // share of CPU cores; 0: not stated
	MemoryMB         int      // limit of the process
	Descriptors      int      // limit on open file descriptors of the process
	PeerListen       string   // for datagrams of other assigners
	Peers            []string // all assigners, by number
	PeersBroadcast   string   // reaches all of them; empty: none
	InitialEndpoints wire.EndpointList
	Settings         assign.Config
}

// UsesPeers reports whether the settings allow messages between assigners and there are other assigners.
func (c *Config) UsesPeers() bool { return c.Settings.PeerMessagesAllowed && len(c.Peers) > 0 }

// newConfig converts the fields of a file.
func newConfig(fields *file) (*Config, error) {
	const seedBase, seedBits = 16, 64
	seed, err := strconv.ParseUint(fields.Seed, seedBase, seedBits)
	if err != nil {
		return nil, fieldError(seedField, strconv.Quote(fields.Seed), "a hexadecimal number of at most 16 digits")
	}
	if len(fields.Settings) == 0 {
		return nil, fieldError(settingsField, fieldcheck.Missing, "an object")
	}
	if fields.InitialEndpoints == nil {
		return nil, fieldError(initialEndpointsField, fieldcheck.Missing, "an endpoint list")
	}
	return &Config{
		Name:             fields.Name,
		Listen:           fields.Listen,
		Discovery:        fields.Discovery,
		Relay:            fields.Relay.Address,
		Seed:             int64(seed),
		Cores:            fields.Limits.Cores,
		MemoryMB:         orDefault(int(fields.Limits.MemoryMB), defaultMemoryMB),
		Descriptors:      orDefault(fields.Limits.Descriptors, defaultDescriptors),
		PeerListen:       fields.PeerListen,
		Peers:            fields.Peers,
		PeersBroadcast:   fields.PeersBroadcast,
		InitialEndpoints: *fields.InitialEndpoints,
		Settings:         settings.Translate(fields.Settings),
	}, nil
}

func orDefault(value, defaultValue int) int {
	if value <= 0 {
		return defaultValue
	}
	return value
}

func fieldError(name, value, want string) error {
	return fmt.Errorf("configuration: %w", &fieldcheck.Error{Field: name, Value: value, Want: want})
}

// validate checks the fields that would otherwise fail while the program runs. The initial endpoints are converted only to
// check them: the times in the event depend on the start of the assigner's clock, which is not known here.
func (c *Config) validate() error {
	if _, err := wire.NewCodec(c.Settings, time.Now()).ConvertEndpointList(c.InitialEndpoints); err != nil {
		return fmt.Errorf("configuration: %q: %w", initialEndpointsField, err)
	}
	addresses := []namedAddress{{listenField, c.Listen}, {discoveryField, c.Discovery}, {relayAddressField, c.Relay}}
	if c.UsesPeers() {
		addresses = append(addresses, c.peerAddresses()...)
	}
	return checkAddresses(addresses...)
}

func (c *Config) peerAddresses() []namedAddress {
	addresses := []namedAddress{{peerListenField, c.PeerListen}}
	for _, peer := range c.Peers {
		addresses = append(addresses, namedAddress{peersField, peer})
	}
	if c.PeersBroadcast != "" {
		addresses = append(addresses, namedAddress{peersBroadcastField, c.PeersBroadcast})
	}
	return addresses
}

// namedAddress is an address and the field that holds it.
type namedAddress struct {
	field   string
	address string
}

// checkAddresses returns an error about the first address that is invalid.
func checkAddresses(addresses ...namedAddress) error {
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.address); err != nil {
			return fieldError(a.field, strconv.Quote(a.address), "an IP address and a port")
		}
	}
	return nil
}
