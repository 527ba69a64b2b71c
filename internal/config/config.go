// Package config reads what an assigner is told at its start.
package config

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"time"

	"madderhollow/assign"
	"madderhollow/internal/backoff"
	"madderhollow/internal/settings"
	"madderhollow/internal/wire"
)

// Config is what the program runs by.
type Config struct {
	Path                           string // of the file it came from
	Name, Listen, Discovery, Relay string
	Seed                           int64
	Cores                          float64
	MemoryMB, Sockets              int
	PeerListen, PeersAll           string
	Peers                          []string
	Known                          wire.List
	Settings                       assign.Config
}

type file struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	PeerListen string   `json:"peer_listen"`
	Peers      []string `json:"peers"`
	PeersAll   string   `json:"peers_all"`
	Relay      struct {
		Address string `json:"address"`
	} `json:"relay"`
	Known    *wire.List     `json:"known"`
	Settings map[string]any `json:"settings"`
}

// The limits where the configuration names none: those of the platform's scored days.
const (
	usualMemoryMB = 192
	usualSockets  = 1024
)

const (
	// lookFor is how long a file that cannot be used may still be in the making: whoever starts an assigner may
	// write its file at the same moment. A fault in it is told within a second all the same.
	lookFor = 600 * time.Millisecond
	// lookAgain is the pause between looks.
	lookAgain = 20 * time.Millisecond
)

// Await is Load, looking again for a short while where the file is missing or cannot be used.
func Await(ctx context.Context, env func(string) string) (*Config, error) {
	for end := time.Now().Add(lookFor); ; backoff.Sleep(ctx, lookAgain) {
		c, err := Load(env)
		if err == nil || env("EDGE_CONFIG") == "" || time.Now().After(end) {
			return c, err
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
}

// Load reads the file that EDGE_CONFIG names; the other variables go before what stands in it.
func Load(env func(string) string) (*Config, error) {
	path := env("EDGE_CONFIG")
	if path == "" {
		return nil, errors.New("EDGE_CONFIG is not set")
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c, err := Parse(b, env)
	if err != nil {
		return nil, err
	}
	c.Path = path
	return c, nil
}

// Parse is Load on a file's bytes.
func Parse(b []byte, env func(string) string) (*Config, error) {
	f := file{}
	if err := json.Unmarshal(b, &f); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	for name, to := range map[string]*string{"EDGE_NAME": &f.Name, "EDGE_LISTEN": &f.Listen, "EDGE_DISCOVERY": &f.Discovery} {
		if v := env(name); v != "" {
			*to = v
		}
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("configuration: seed %q is no hexadecimal number", f.Seed)
	}
	if len(f.Settings) == 0 || f.Known == nil {
		return nil, errors.New("configuration: settings or known are missing")
	}
	c := &Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Relay: f.Relay.Address, Seed: int64(seed),
		Cores: f.Limits.Cores, MemoryMB: int(f.Limits.MemoryMB), Sockets: f.Limits.Sockets, PeerListen: f.PeerListen,
		PeersAll: f.PeersAll, Peers: f.Peers, Known: *f.Known, Settings: settings.Translate(f.Settings)}
	if c.MemoryMB <= 0 {
		c.MemoryMB = usualMemoryMB
	}
	if c.Sockets <= 0 {
		c.Sockets = usualSockets
	}
	need := [][2]string{{"listen", c.Listen}, {"discovery", c.Discovery}, {"relay.address", c.Relay}}
	if c.MayTell() {
		need = append(need, [2]string{"peer_listen", c.PeerListen})
		for _, p := range c.Peers {
			need = append(need, [2]string{"peers", p})
		}
		if c.PeersAll != "" {
			need = append(need, [2]string{"peers_all", c.PeersAll})
		}
	}
	if _, err := wire.NewCodec(c.Settings, time.Now()).Listed(c.Known); err != nil {
		return nil, fmt.Errorf("configuration: known: %w", err)
	}
	return c, addresses(need...)
}

func addresses(need ...[2]string) error {
	for _, n := range need {
		if _, err := netip.ParseAddrPort(n[1]); err != nil {
			return fmt.Errorf("configuration: %s: %w", n[0], err)
		}
	}
	return nil
}

// Reread is what a running program takes from a new configuration; the rest needs a restart.
type Reread struct {
	Discovery, Relay string
	rest             map[string]json.RawMessage
}

// atStart has the members that are for a start alone, and the two that may move.
var atStart = []string{"seed", "known", "discovery", "relay"}

// Again reads a configuration while the program runs. Here the file goes before the environment, which is as old
// as the process.
func Again(path string) (*Reread, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	f, r := file{}, &Reread{}
	if err := errors.Join(json.Unmarshal(b, &f), json.Unmarshal(b, &r.rest)); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	r.Discovery, r.Relay = f.Discovery, f.Relay.Address
	return r, addresses([2]string{"discovery", r.Discovery}, [2]string{"relay.address", r.Relay})
}

// Differs names what else is not as it was, and so needs a restart.
func (r *Reread) Differs(was *Reread) (l []string) {
	for name, v := range r.rest {
		if !slices.Contains(atStart, name) && was != nil && !bytes.Equal(v, was.rest[name]) {
			l = append(l, name)
		}
	}
	slices.Sort(l)
	return l
}

// MayTell tells whether the settings allow messages between assigners and there is where to listen for them.
func (c *Config) MayTell() bool {
	return c.Settings.PeerMessages && len(c.Peers) > 0
}
