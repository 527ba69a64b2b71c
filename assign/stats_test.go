package assign

import "testing"

// TestStatsDescribeMessagesAndTables follows the messages to two proxies, of which one acknowledges its message.
func TestStatsDescribeMessagesAndTables(t *testing.T) {
	assigner := New(1, modelConfig())
	assigner.Handle(1000, []Event{EndpointUpdate{Full: true, Endpoints: newEndpoints("x", 12)},
		ProxyConnected{Proxy: 0, Zone: "x", TypicalRate: 5, DefaultTablesOnly: true},
		ProxyConnected{Proxy: 1, Zone: "x", TypicalRate: 7, DefaultTablesOnly: true}})
	want := Stats{ObservedRate: 12, DefaultTableProxies: 2}
	if got := assigner.Stats(); got != want {
		t.Errorf("after the connections: got %+v, want %+v", got, want)
	}
	assigner.Handle(1000.5, []Event{ProxyConnected{Proxy: 0, Zone: "x", TypicalRate: 5}})
	assigner.Handle(1002, nil)
	sent := assigner.Stats()
	if sent.LinesInFlight == 0 || sent.OldestInFlight != 1.5 || sent.DefaultTableProxies != 1 {
		t.Errorf("1.5 s after a message: got %+v, want lines in flight for 1.5 s, and one proxy with default tables", sent)
	}
	for sequence := range 5 {
		assigner.Handle(1002.1, []Event{Acknowledged{Proxy: 0, Sequence: sequence}})
	}
	if got := assigner.Stats(); got.LinesInFlight != 0 || got.OldestInFlight != 0 {
		t.Errorf("after the acknowledgment: got %+v, want no lines in flight", got)
	}
}
