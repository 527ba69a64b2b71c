// Package config reads what an assigner is told at its start: the JSON file that EDGE_CONFIG names (file.go has its form),
// and the environment variables that go before it. reread.go is for what a running program takes from a new file.
package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"time"

	"madderhollow/assign"
	"madderhollow/internal/backoff"
	"madderhollow/internal/settings"
	"madderhollow/internal/wire"
)

// The environment variables.
const (
	fileVariable      = "EDGE_CONFIG"
	nameVariable      = "EDGE_NAME"
	listenVariable    = "EDGE_LISTEN"
	discoveryVariable = "EDGE_DISCOVERY"
)

// The limits where the configuration names none: those of the platform's scored days.
const (
	defaultMemoryMB    = 192
	defaultDescriptors = 1024
)

// Config is what the program runs by.
type Config struct {
	Path        string // of the file it came from
	Name        string // of this assigner, for the log
	Listen      string // addresses are host:port
	Discovery   string
	Relay       string
	Seed        int64
	Cores       float64 // share of CPU cores; 0: not stated
	MemoryMB    int
	Descriptors int
	PeerListen  string
	Peers       []string // the assigners in the order of their numbers
	PeersAll    string   // reaches all of them
	Known       wire.EndpointList
	Settings    assign.Config
}

// ErrNoFile is an environment that names no file.
var ErrNoFile = errors.New(fileVariable + " is not set")

// MemberError tells which member of the configuration cannot be used, its value and what it should be.
type MemberError struct {
	Member string // dotted path
	Value  string
	Want   string
}

func (e *MemberError) Error() string {
	return fmt.Sprintf("configuration: %s is %q: want %s", e.Member, e.Value, e.Want)
}

// Retry says how long a file that cannot be used may still be in the making: whoever starts an assigner may write its file
// at the same moment.
type Retry struct {
	Timeout  time.Duration
	Interval time.Duration // between two looks
	Now      func() time.Time
	Sleep    func(context.Context, time.Duration) // ends with the context
}

// DefaultRetry tells of a fault in the file within a second all the same.
func DefaultRetry() Retry {
	return Retry{Timeout: 600 * time.Millisecond, Interval: 20 * time.Millisecond, Now: time.Now, Sleep: backoff.Sleep}
}

// Await is Load, trying again for a while where the file is missing or cannot be used.
func Await(ctx context.Context, env func(string) string, retry Retry) (*Config, error) {
	for end := retry.Now().Add(retry.Timeout); ; retry.Sleep(ctx, retry.Interval) {
		config, err := Load(env)
		if err == nil || errors.Is(err, ErrNoFile) || retry.Now().After(end) {
			return config, err
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
}

// Load reads the file that EDGE_CONFIG names; the other variables go before what stands in it.
func Load(env func(string) string) (*Config, error) {
	path := env(fileVariable)
	if path == "" {
		return nil, ErrNoFile
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	config, err := Parse(data, env)
	if err != nil {
		return nil, err
	}
	config.Path = path
	return config, nil
}

// Parse is Load on a file's bytes.
func Parse(data []byte, env func(string) string) (*Config, error) {
	var f file
	if err := json.Unmarshal(data, &f); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	override(&f.Name, env(nameVariable))
	override(&f.Listen, env(listenVariable))
	override(&f.Discovery, env(discoveryVariable))
	config, err := f.config()
	if err != nil {
		return nil, err
	}
	return config, config.validate()
}

func override(member *string, value string) {
	if value != "" {
		*member = value
	}
}

// config makes a configuration of a file's members.
func (f *file) config() (*Config, error) {
	const seedBase, seedBits = 16, 64
	seed, err := strconv.ParseUint(f.Seed, seedBase, seedBits)
	if err != nil {
		return nil, &MemberError{"seed", f.Seed, "a hexadecimal number of at most 16 digits"}
	}
	if len(f.Settings) == 0 {
		return nil, &MemberError{"settings", "missing", "an object"}
	}
	if f.Known == nil {
		return nil, &MemberError{"known", "missing", "a list"}
	}
	return &Config{
		Name:        f.Name,
		Listen:      f.Listen,
		Discovery:   f.Discovery,
		Relay:       f.Relay.Address,
		Seed:        int64(seed),
		Cores:       f.Limits.Cores,
		MemoryMB:    orDefault(int(f.Limits.MemoryMB), defaultMemoryMB),
		Descriptors: orDefault(f.Limits.Sockets, defaultDescriptors),
		PeerListen:  f.PeerListen,
		Peers:       f.Peers,
		PeersAll:    f.PeersAll,
		Known:       *f.Known,
		Settings:    settings.Translate(f.Settings),
	}, nil
}

func orDefault(value, standard int) int {
	if value <= 0 {
		return standard
	}
	return value
}

// MessagesPeers tells whether the settings allow messages between assigners and there are others.
func (c *Config) MessagesPeers() bool { return c.Settings.PeerMessages && len(c.Peers) > 0 }

// validate checks the members that could end the program later.
func (c *Config) validate() error {
	if _, err := wire.NewCodec(c.Settings, time.Now()).EndpointUpdate(c.Known); err != nil {
		return fmt.Errorf("configuration: known: %w", err)
	}
	addresses := []namedAddress{{"listen", c.Listen}, {"discovery", c.Discovery}, {"relay.address", c.Relay}}
	if c.MessagesPeers() {
		addresses = append(addresses, c.peerAddresses()...)
	}
	return checkAddresses(addresses...)
}

func (c *Config) peerAddresses() []namedAddress {
	addresses := []namedAddress{{"peer_listen", c.PeerListen}}
	for _, peer := range c.Peers {
		addresses = append(addresses, namedAddress{"peers", peer})
	}
	if c.PeersAll != "" {
		addresses = append(addresses, namedAddress{"peers_all", c.PeersAll})
	}
	return addresses
}

// namedAddress is an address and the member that holds it.
type namedAddress struct {
	member  string
	address string
}

func checkAddresses(addresses ...namedAddress) error {
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.address); err != nil {
			return &MemberError{a.member, a.address, "an IP address and a port"}
		}
	}
	return nil
}
