package config

import "madderhollow/internal/wire"

// Names of fields of the configuration file, for error messages and for the comparison of two files. The name of a
// nested field is a path whose elements are separated by dots.
const (
	seedField             = "seed"
	settingsField         = "settings"
	initialEndpointsField = "known"
	listenField           = "listen"
	discoveryField        = "discovery"
	relaySectionField     = "relay"
	relayAddressField     = "relay.address"
	peerListenField       = "peer_listen"
	peersField            = "peers"
	peersBroadcastField   = "peers_all"
)

// configFile is the JSON object in a configuration file. Unknown fields are ignored.
type configFile struct {
	Name                 string             `json:"name"`
	ListenAddress        string             `json:"listen"`
	DiscoveryAddress     string             `json:"discovery"`
	Seed                 string             `json:"seed"` // hexadecimal number of at most 16 digits
	Limits               resourceLimits     `json:"limits"`
	PeerListenAddress    string             `json:"peer_listen"`
	PeerAddresses        []string           `json:"peers"`
	PeerBroadcastAddress string             `json:"peers_all"`
	Relay                relaySection       `json:"relay"`
	InitialEndpoints     *wire.EndpointList `json:"known"`
	Settings             map[string]any     `json:"settings"` // settings object, which package settings translates
}

// resourceLimits are the resource limits of the process. Load replaces missing limits by defaults, except CPUCores.
type resourceLimits struct {
	CPUCores            float64 `json:"cores"`     // number of CPU cores, possibly fractional
	MemoryLimitMB       float64 `json:"memory_mb"` // memory limit in MiB
	FileDescriptorLimit int     `json:"sockets"`   // limit on all open file descriptors, not only on sockets
}

// relaySection holds the fields of the configuration file that concern the relay.
type relaySection struct {
	Address string `json:"address"` // address of the relay, host:port
}
