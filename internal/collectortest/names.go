package collectortest

// This file maps the names of the protocol at an assigner's address to the terms of this program.

// Types of messages.
const (
	pingType               = "ping"
	pongType               = "pong"
	collectorType          = "collector"
	endpointLoadReportType = "heard"
	proxyTrafficReportType = "usage"
)

// message is a ping or a pong.
type message struct {
	Type string `json:"@type"`
}

// identification identifies the collector of a zone.
type identification struct {
	Type string `json:"@type"`
	Zone string `json:"locality"`
}

// endpointLoadReport reports the attempts at an endpoint.
type endpointLoadReport struct {
	Type        string  `json:"@type"`
	Zone        string  `json:"locality"`
	Endpoint    string  `json:"endpoint"`
	Attempts    int     `json:"total"`
	Failed      int     `json:"errors"`
	MeanLatency float64 `json:"rtt"`      // ms
	Interval    int     `json:"interval"` // ms
	Load        struct {
		BusyFraction float64 `json:"util"`
	} `json:"metrics"`
}

// proxyTrafficReport reports the requests of a class at a proxy.
type proxyTrafficReport struct {
	Type         string `json:"@type"`
	Proxy        int    `json:"node"`
	RequestClass string `json:"route"`
	Requests     int    `json:"total"`
	Failed       int    `json:"errors"`
	Interval     int    `json:"interval"` // ms
}
