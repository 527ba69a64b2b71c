// Package config loads the configuration of an assigner. The configuration is a JSON file, whose path is in the
// environment variable EDGE_CONFIG. Other environment variables override some of its fields.
//
// Load, LoadWithRetry and LoadUpdate block while they read the file. If the file is a pipe, a read lasts until the
// writer closes the pipe; the end of a context does not interrupt it. Any goroutine may call these functions.
//
// file.go declares the fields of the file. load.go loads the file when the program starts. update.go loads it again
// while the program runs.
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

// Limits that apply if the configuration file states none.
const (
	defaultMemoryLimitMB       = 192
	defaultFileDescriptorLimit = 1024
)

// Config is the validated configuration of an assigner. It is not modified after Load. Addresses have the form
// host:port, with an IP address as the host.
type Config struct {
	FilePath             string            // path of the configuration file; empty in a Config that Parse returned
	Name                 string            // name of this assigner in its log
	ListenAddress        string            // address at which collectors connect to this assigner
	DiscoveryAddress     string            // address of the discovery agent
	RelayAddress         string            // address of the relay
	Seed                 int64             // seed of all random number generators of the assigner
	CPUCores             float64           // number of CPU cores, possibly fractional; 0 if not stated
	MemoryLimitMB        int               // memory limit of the process in MiB
	FileDescriptorLimit  int               // limit on the open file descriptors of the process
	PeerListenAddress    string            // address at which this assigner receives datagrams from other assigners
	PeerAddresses        []string          // addresses of all assigners, indexed by assigner number; may be empty
	PeerBroadcastAddress string            // address that reaches all assigners; empty if there is none
	InitialEndpoints     wire.EndpointList // endpoint list to use until the first list from discovery
	Settings             assign.Config     // configuration of the decision module (package assign)
}

// PeerMessagesEnabled reports whether the settings allow messages between assigners and the configuration lists the
// addresses of assigners.
func (c *Config) PeerMessagesEnabled() bool {
	return c.Settings.PeerMessagesAllowed && len(c.PeerAddresses) > 0
}

// configFromFile converts the fields of a configuration file to a Config, which is not validated yet. It returns an
// error if the seed is invalid, or if the settings or the initial endpoint list are missing.
func configFromFile(fields *configFile) (*Config, error) {
	const seedBase, seedBits = 16, 64
	seed, err := strconv.ParseUint(fields.Seed, seedBase, seedBits)
	if err != nil {
		return nil, newFieldError(seedField, strconv.Quote(fields.Seed), "a hexadecimal number of at most 16 digits")
	}
	if len(fields.Settings) == 0 {
		return nil, newFieldError(settingsField, fieldcheck.Missing, "an object")
	}
	if fields.InitialEndpoints == nil {
		return nil, newFieldError(initialEndpointsField, fieldcheck.Missing, "an endpoint list")
	}
	return &Config{
		Name:                 fields.Name,
		ListenAddress:        fields.ListenAddress,
		DiscoveryAddress:     fields.DiscoveryAddress,
		RelayAddress:         fields.Relay.Address,
		Seed:                 int64(seed),
		CPUCores:             fields.Limits.CPUCores,
		MemoryLimitMB:        positiveOrDefault(int(fields.Limits.MemoryLimitMB), defaultMemoryLimitMB),
		FileDescriptorLimit:  positiveOrDefault(fields.Limits.FileDescriptorLimit, defaultFileDescriptorLimit),
		PeerListenAddress:    fields.PeerListenAddress,
		PeerAddresses:        fields.PeerAddresses,
		PeerBroadcastAddress: fields.PeerBroadcastAddress,
		InitialEndpoints:     *fields.InitialEndpoints,
		Settings:             settings.Translate(fields.Settings),
	}, nil
}

// positiveOrDefault returns value if it is above 0, and defaultValue otherwise.
func positiveOrDefault(value, defaultValue int) int {
	if value <= 0 {
		return defaultValue
	}
	return value
}

// newFieldError returns an error that wraps a *fieldcheck.Error for the field name.
func newFieldError(name, value, want string) error {
	return fmt.Errorf("configuration: %w", &fieldcheck.Error{Field: name, Value: value, Want: want})
}

// validate checks the fields whose invalid values would otherwise cause failures later, while the program runs. It
// converts the initial endpoint list to an event only to check the list, and discards the event: the times in the event
// depend on the start of the assigner's clock, which is not known yet.
func (c *Config) validate() error {
	if _, err := wire.NewCodec(c.Settings, time.Now()).ConvertEndpointList(c.InitialEndpoints); err != nil {
		return fmt.Errorf("configuration: %q: %w", initialEndpointsField, err)
	}
	addresses := []fieldAddress{{listenField, c.ListenAddress}, {discoveryField, c.DiscoveryAddress}, {relayAddressField, c.RelayAddress}}
	if c.PeerMessagesEnabled() {
		addresses = append(addresses, c.peerFieldAddresses()...)
	}
	return checkAddresses(addresses...)
}

// peerFieldAddresses returns the addresses that are used for messages between assigners.
func (c *Config) peerFieldAddresses() []fieldAddress {
	addresses := []fieldAddress{{peerListenField, c.PeerListenAddress}}
	for _, peer := range c.PeerAddresses {
		addresses = append(addresses, fieldAddress{peersField, peer})
	}
	if c.PeerBroadcastAddress != "" {
		addresses = append(addresses, fieldAddress{peersBroadcastField, c.PeerBroadcastAddress})
	}
	return addresses
}

// fieldAddress is an address and the name of the configuration field that holds it.
type fieldAddress struct {
	fieldName string
	address   string
}

// checkAddresses returns an error for the first address that is not an IP address and a port, or nil if all are valid.
func checkAddresses(addresses ...fieldAddress) error {
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.address); err != nil {
			return newFieldError(a.fieldName, strconv.Quote(a.address), "an IP address and a port")
		}
	}
	return nil
}
