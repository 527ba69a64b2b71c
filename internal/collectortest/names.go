package collectortest

// This file defines the messages of the protocol that an assigner speaks at its listening address, with their names
// on the wire.

// Values of the type field of a message.
const (
	pingType               = "ping"
	pongType               = "pong"
	collectorType          = "collector"
	endpointLoadReportType = "heard"
	proxyTrafficReportType = "usage"
)

// pingMessage is a ping or the pong that answers it.
type pingMessage struct {
	Type string `json:"@type"`
}

// collectorIdentification is the first message on a connection. It identifies the sender as the collector of a zone.
type collectorIdentification struct {
	Type string `json:"@type"`
	Zone string `json:"locality"`
}

// endpointLoadReport reports the attempts at an endpoint and the endpoint's load during an interval.
type endpointLoadReport struct {
	Type                    string  `json:"@type"`
	Zone                    string  `json:"locality"`
	Endpoint                string  `json:"endpoint"`
	Attempts                int     `json:"total"`
	Failed                  int     `json:"errors"`
	MeanLatencyMilliseconds float64 `json:"rtt"`
	IntervalMilliseconds    int     `json:"interval"`
	Load                    struct {
		BusyFraction float64 `json:"util"`
	} `json:"metrics"`
}

// proxyTrafficReport reports the requests of a request class that reached a proxy during an interval.
type proxyTrafficReport struct {
	Type                 string `json:"@type"`
	Proxy                int    `json:"node"`
	RequestClass         string `json:"route"`
	Requests             int    `json:"total"`
	Failed               int    `json:"errors"`
	IntervalMilliseconds int    `json:"interval"`
}
