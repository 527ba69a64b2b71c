package config

import "madderhollow/internal/wire"

// Fields of the configuration file that errors name; dotted if nested.
const (
	seedField             = "seed"
	settingsField         = "settings"
	initialEndpointsField = "known"
	listenField           = "listen"
	discoveryField        = "discovery"
	relayField            = "relay"
	relayAddressField     = "relay.address"
	peerListenField       = "peer_listen"
	peersField            = "peers"
	peersBroadcastField   = "peers_all"
)

// file maps the fields of the configuration file. Unknown fields are ignored.
type file struct {
	Name             string             `json:"name"`
	Listen           string             `json:"listen"`
	Discovery        string             `json:"discovery"`
	Seed             string             `json:"seed"` // hexadecimal
	Limits           limits             `json:"limits"`
	PeerListen       string             `json:"peer_listen"`
	Peers            []string           `json:"peers"`
	PeersBroadcast   string             `json:"peers_all"`
	Relay            relay              `json:"relay"`
	InitialEndpoints *wire.EndpointList `json:"known"`
	Settings         map[string]any     `json:"settings"` // see package settings
}

type limits struct {
	Cores       float64 `json:"cores"`     // share of CPU cores
	MemoryMB    float64 `json:"memory_mb"` // 2^20 bytes
	Descriptors int     `json:"sockets"`   // open file descriptors, not only of sockets
}

type relay struct {
	Address string `json:"address"`
}
