package wire

import (
	"strings"
	"testing"

	"madderhollow/assign"
)

func FuzzLine(f *testing.F) {
	f.Add([]byte(`{"@type":"heard","locality":"a","endpoint":"s","total":12,"errors":3,"rtt":41.5,"interval":500,` +
		`"metrics":{"inflight":7,"util":0.5}}`))
	f.Add([]byte(`{"@type":"usage","node":5,"route":"sign","total":0,"errors":1,"interval":1000}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		message, err := newTestCodec().DecodeMessage(line)
		if err != nil {
			return
		}
		report, _ := message.(Report)
		switch event := report.Event.(type) {
		case assign.EndpointLoadReport:
			if event.Attempts < event.Failed || event.Failed < 0 || !(event.Interval > 0) || !(event.MeanLatency >= 0) ||
				event.Load != nil && len(event.Load) != 2 {
				t.Errorf("%s: got %+v, want failures up to the attempts, an interval above 0 and no load or two values", line, event)
			}
		case assign.ProxyTrafficReport:
			if event.Proxy < 0 || event.Proxy > 5 || event.Requests < 0 || event.Failed < 0 || !(event.Interval > 0) {
				t.Errorf("%s: got %+v, want a proxy from 0 to 5, counts from 0 and an interval above 0", line, event)
			}
		}
	})
}

func FuzzList(f *testing.F) {
	f.Add([]byte(`{"index":41,"snapshot":true,"endpoints":[{"name":"s","zone":"a","status":"left","weight":1.5,"since_ms":1002500}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		update, err := newTestCodec().DecodeEndpointList(body)
		for _, endpoint := range update.Endpoints {
			if err == nil && (!isValidOrderArgument(endpoint.Name) || !(endpoint.Weight >= 0) || !(endpoint.StartedAt >= 0)) {
				t.Errorf("%s: got %+v, want a name without special characters, weight and start from 0", body, endpoint)
			}
		}
	})
}

func FuzzRelay(f *testing.F) {
	f.Add([]byte("event: joined\ndata: node=3&locality=a&w=21.5&cold=1\n\n"))
	f.Add([]byte(`<Response><results><item><taken>3</taken></item></results></Response>`))
	f.Fuzz(func(t *testing.T, text []byte) {
		if response, err := DecodeCallResponse(text); err == nil && response.AcceptedOrders < 0 {
			t.Errorf("%s: got %+v, want accepted orders from 0", text, response)
		}
		for stream := NewEventStream(strings.NewReader(string(text))); ; {
			eventType, data, err := stream.Next()
			if err != nil {
				break
			}
			event, err := newTestCodec().DecodeRelayEvent(eventType, data)
			connected, ok := event.(assign.ProxyConnected)
			if ok && err == nil && (connected.Proxy < 0 || connected.Proxy > 5 || !(connected.TypicalRate >= 0)) {
				t.Errorf("%s: got %+v, want a proxy from 0 to 5 and a rate from 0", data, connected)
			}
		}
	})
}
