package config

import "madderhollow/internal/wire"

// file has the members of the configuration file.
type file struct {
	Name       string             `json:"name"`
	Listen     string             `json:"listen"`
	Discovery  string             `json:"discovery"`
	Seed       string             `json:"seed"` // hexadecimal
	Limits     limits             `json:"limits"`
	PeerListen string             `json:"peer_listen"`
	Peers      []string           `json:"peers"`
	PeersAll   string             `json:"peers_all"`
	Relay      relay              `json:"relay"`
	Known      *wire.EndpointList `json:"known"`
	Settings   map[string]any     `json:"settings"` // see package settings
}

type limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"` // descriptors of all kinds
}

type relay struct {
	Address string `json:"address"`
}
